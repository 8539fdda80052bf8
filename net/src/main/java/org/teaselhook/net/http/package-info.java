/**
 * An HTTP/1.1 server and client on Netty's codec, with whole bodies in memory and bounded sizes.
 */
package org.teaselhook.net.http;
