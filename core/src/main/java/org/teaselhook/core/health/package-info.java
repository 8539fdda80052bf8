/**
 * Detection of workers that fail or are slow, by comparison with their peers.
 */
package org.teaselhook.core.health;
