/** The model: immutable values of the domain, without I/O. */
export {};
