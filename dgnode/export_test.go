package dgnode

// DecodeCatalog exposes the decoder of state/catalog, whose input comes from the
// platform and from peers.
var DecodeCatalog = decodeCatalog
