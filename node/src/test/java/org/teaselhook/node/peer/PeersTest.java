package org.teaselhook.node.peer;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.wire.ConfigDocument;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PeersTest {

    // -- noneLost

    @Test
    public void shouldCountOnNobodyBeforeTheLogOfClaimsWasRead() {
        Peers peers = peers();
        assertFalse(peers.noneLost(), "an entry that has read nothing cannot know that nothing is missing");
        peers.remember();
        assertTrue(peers.noneLost());
    }

    private static Peers peers() {
        EntryIdentity self = new EntryIdentity("entry-1", Incarnation.of(1), "z", "127.0.0.1:1");
        PeerEvents events = new PeerEvents() {
            @Override
            public void peerSpoke(PeerInfo peer, long asOfNanos) {
                // Nobody speaks.
            }

            @Override
            public void configReceived(ConfigDocument document) {
                // Nobody speaks.
            }
        };
        PeerChannels channels = PeerChannels.of(EventLoops.of(1).group(), 1024);
        return new Peers(self, channels, Runnable::run, () -> 0, events, ConfigDocument::getDefaultInstance);
    }
}
