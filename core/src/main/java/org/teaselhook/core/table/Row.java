package org.teaselhook.core.table;

/**
 * One row. The value array is owned by the row and must not be changed.
 *
 * @param key the key
 * @param version rises with each write to this key, also across deletion; at least 1
 * @param value the bytes
 */
public record Row(String key, long version, byte[] value) {}
