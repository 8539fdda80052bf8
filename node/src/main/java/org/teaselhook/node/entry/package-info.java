/**
 * The entry: admits submissions, has them dispatched, and answers them.
 */
package org.teaselhook.node.entry;
