// Package record defines the controllers' records in the key-value store: the keys, the values
// stored under them and the encodings of the values. Other packages decide when records are
// written and what they imply. The package performs no I/O.
//
// Other versions of the program read the same records, so keys, cbor tags, and the order of
// fields in arrays must not change. Older versions must be able to ignore new fields.
package record
