// Package dgbackend is the client of backend servers.
//
// Rules:
//
//	B1: A replica never has more connections than Replica.Connections. A permit
//	    is taken before dialing and released only when the backend server has
//	    closed its end too, or must have done so given the request's deadline.
//	B2: A request is written once. It is never retried here, neither on another
//	    connection nor when the backend server closes the connection.
//	B3: An attempt counts as "not run" only if no byte of it was written or the
//	    backend server reported that it did not run the request. If a byte was
//	    written and no complete response arrived, the outcome is unknown.
//	B4: A connection is reused only after a complete response with the right
//	    Request-Id and no further bytes.
//	B5: Send returns when the request's slot is free: after the response, after
//	    the backend server confirmed the cancellation, or when the deadline plus
//	    the clock skew has passed.
//	B6: Up to Replica.Slots idle connections are kept. After a response, missing
//	    ones are opened in advance. A GET /health on each of them bears the cost
//	    of a new connection before a request needs it.
package dgbackend
