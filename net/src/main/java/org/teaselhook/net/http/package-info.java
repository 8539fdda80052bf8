/**
 * An HTTP/1.1 server and client on Netty's codec. Bodies are held in memory and limited in size.
 */
package org.teaselhook.net.http;
