// Package dgbackend is the client of backend servers.
//
// Rules:
//
//	B1: A replica never has more connections than Replica.Connections. A place is
//	    taken before the connect and given back only when the backend server has
//	    closed its end too, or would have by the request's deadline.
//	B2: A request is written once. Nothing repeats it, neither on another
//	    connection nor after a connection that the backend server closed.
//	B3: An attempt is "not run" only if no byte of it was written or the backend
//	    server said so. With a byte written and no whole answer it is unknown.
//	B4: A connection is used again only after a whole answer with the right
//	    Request-Id and with no byte after it.
//	B5: Send returns when the slot is free: after the answer, after the backend
//	    server confirmed the cancellation, or when the deadline and the clock
//	    difference have passed.
//	B6: Free connections are kept up to Replica.Slots. After an answer, missing
//	    ones are opened ahead; GET /health on them pays the cost of a new
//	    connection before a request needs it.
package dgbackend
