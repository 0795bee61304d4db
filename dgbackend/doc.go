// Package dgbackend is the client of backend servers.
//
// Rules:
//
//	B1: A replica never has more connections than Replica.Connections. A permit
//	    is taken before dialing. It is released if dialing fails, when the backend
//	    server has closed its end too, or when so much time has passed since the
//	    deadline of the last request that the server must have closed it.
//	B2: A request is written once. It is never retried here, neither on another
//	    connection nor when the backend server closes the connection.
//	B3: An attempt counts as "not run" only if no byte of it was written or the
//	    backend server reported that it did not run the request. If a byte was
//	    written and no complete response arrived, the outcome is unknown.
//	B4: A connection is reused only after a complete response with the right
//	    Request-Id and no further bytes. Only a 200 response to POST /query must
//	    have a Request-Id; other responses may lack it.
//	B5: Send returns when the request's slot is free: after the response, after
//	    the backend server confirmed the cancellation, or when the deadline plus
//	    the clock skew has passed.
//	B6: Up to Replica.Slots idle connections are kept. After a response, missing
//	    ones are opened in advance. A GET /health is sent on each of them, so that
//	    no request is slowed by being the first on a new connection.
package dgbackend
