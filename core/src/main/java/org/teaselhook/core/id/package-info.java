/**
 * Identities of processes and submissions.
 */
package org.teaselhook.core.id;
