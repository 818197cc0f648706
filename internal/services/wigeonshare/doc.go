// Package wigeonshare divides what all instances share, such as the fixed number of resends in a window, among them.
//
// A ledger in a row of the store lists the leases of all instances. Each change is a transaction on the row's revision, so
// that the leases never add up to more than the whole. A holder stops using a lease before it ends on the store's clock,
// and nobody else uses its parts until a cooldown after the end has passed, in which what the holder did still counts.
package wigeonshare
