package dgnode
