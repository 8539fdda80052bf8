/**
 * Which processes are alive, as told by what this process itself saw change.
 */
package org.teaselhook.core.member;
