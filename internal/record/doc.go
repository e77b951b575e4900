// Package record defines the controllers' records in the key-value store: the keys, the values
// stored under them and the encodings of the values. It decides neither when a record is written
// nor what follows from it, and it performs no I/O.
//
// Other versions of the program read the same records, so keys, cbor tags, and the order of
// fields in arrays must not change. New fields must be such that an older version can ignore
// them.
package record
