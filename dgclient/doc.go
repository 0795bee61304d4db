package dgclient
