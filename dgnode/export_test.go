package dgnode

// DecodeCatalog gives tests the decoder of state/catalog, which VMs feed with
// what the platform and peers send.
var DecodeCatalog = decodeCatalog
