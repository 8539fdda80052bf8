/**
 * The routing configuration: which requests are jobs of which service, and how these are served.
 */
package org.teaselhook.core.route;
