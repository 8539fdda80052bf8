/** A TCP relay on loopback that delays, swallows or closes what passes through it. */
package org.teaselhook.standin.relay;
