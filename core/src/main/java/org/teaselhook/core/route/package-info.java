/**
 * The operators' routes: which requests are a job of which service, and how it is served.
 */
package org.teaselhook.core.route;
