// Package dgcapacity measures how the cost of one VM grows with the size of the
// deployment. It runs the real decision packages and the real message encoding
// in one process on a virtual clock, without network.
//
//   - S1: The driver of each VM handles events in the same order and at the same
//     times as the control goroutine of dgnode, including a look at the
//     placement every 250 ms for 3 s after an adopted object.
//   - S2: A message counts the bytes of its protobuf encoding plus the HTTP
//     headers of a twirp call. TCP and IP headers are not counted.
//   - S3: Work that every VM does on the same bytes (reading a deployment text,
//     a table or a list, compressing and decompressing them, publishing a view,
//     planning) is done once for each size, timed alone, and charged to each VM
//     for each time that it does it. All other control work runs on every VM
//     and is timed together. The HTTP server and client take part in neither.
//   - S4: Processor time is that of the whole process, so that it includes
//     garbage collection.
//   - S5: The cost of a change is what is counted from the change until a fixed
//     time after it, less what the same time costs when idle.
//   - S6: A slope is a least-squares line through the values at all sizes. The
//     extrapolation is the value of that line at the target size.
package dgcapacity
