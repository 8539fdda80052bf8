/** A TCP relay on the loopback interface that can add latency, drop bytes and close connections. */
package org.teaselhook.standin.relay;
