/**
 * Collections of bounded size.
 */
package org.teaselhook.core.collection;
