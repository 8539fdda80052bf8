/**
 * The pages by which a daemon shows whether it lives, whether it is ready, and its metrics.
 */
package org.teaselhook.node.health;
