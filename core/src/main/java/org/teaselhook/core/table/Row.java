package org.teaselhook.core.table;

/**
 * A row of the table. The array of the value belongs to the row and must not be modified.
 *
 * @param key the key
 * @param version the version, which rises with each write to the key, also across deletion; at least 1
 * @param value the value
 */
public record Row(String key, long version, byte[] value) {}
