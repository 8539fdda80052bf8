package org.teaselhook.app.ctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.core.rules.RulesParser;
import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.node.admin.AdminHandler;
import org.teaselhook.node.admin.Cluster;
import org.teaselhook.node.admin.HeldConfig;
import org.teaselhook.node.admin.ProcessCondition;
import org.teaselhook.node.admin.ProcessKind;
import org.teaselhook.node.admin.ProcessStatus;
import org.teaselhook.node.config.ConfigStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CtlCommandTest {

    private static final String VALID_RULES = "kind patchdesk booking once timeout=5s run=200ms  # Meera: one crew\n";

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private InetSocketAddress address;
    private HttpServer server;
    private StubCluster cluster;
    private LossyTable table;
    private Path file;

    @BeforeMethod
    public void start() throws IOException {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        cluster = new StubCluster();
        table = new LossyTable();
        ConfigStore store = ConfigStore.of(table, () -> 0);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(any, AdminHandler.of(store, cluster), HttpLimits.standard());
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        file = Files.createTempFile("teaselhook", ".rules");
    }

    @AfterMethod
    public void stop() throws IOException {
        server.close();
        Files.delete(file);
    }

    // -- rules check

    @Test
    public void shouldCheckOfflineAndReportEveryInvalidLine() throws IOException {
        Files.writeString(file, "zone a out\n" + VALID_RULES + "zone b away # Anil: work\n");

        assertEquals(run("rules", "check", file.toString()), ExitCode.BAD_RULES.code());
        assertTrue(err.toString().contains("line 1: ") && err.toString().contains("line 3: "), err.toString());
        Files.writeString(file, VALID_RULES);
        assertEquals(run("rules", "check", file.toString()), ExitCode.DONE.code());
    }

    @DataProvider
    public Object[][] examples() {
        return new Object[][] {{"patchdesk.rules"}, {"storefront.rules"}};
    }

    @Test(dataProvider = "examples")
    public void shouldAcceptDocumentationExamples(String name) {
        Path example = Path.of("..", "docs", "examples", name);

        assertEquals(run("rules", "check", example.toString()), ExitCode.DONE.code(), err.toString());
    }

    // -- rules apply

    @Test
    public void shouldApplyShowAndReportDifferenceOnConflict() throws IOException {
        Files.writeString(file, VALID_RULES);
        assertEquals(
                runWithEntries("rules", "apply", "--expect", "0", file.toString()),
                ExitCode.DONE.code(),
                err.toString());
        assertEquals(runWithEntries("rules", "show"), ExitCode.DONE.code());
        assertTrue(out.toString().endsWith(VALID_RULES), out.toString());
        assertEquals(
                runWithEntries("zone", "out", "thrissur", "--why", "power work", "--author", "Anil"),
                ExitCode.DONE.code());

        Files.writeString(file, "");
        assertEquals(runWithEntries("rules", "apply", "--expect", "1", file.toString()), ExitCode.CONFLICT.code());
        assertTrue(err.toString().contains("version 2 by Anil"), err.toString());
        assertTrue(err.toString().contains("+ zone thrissur out  # Anil: power work"), err.toString());
    }

    @Test
    public void shouldResolveLostAnswerByRetryWithSameOperationId() throws IOException {
        Files.writeString(file, VALID_RULES);
        table.unavailable = true;
        String[] apply = {"rules", "apply", "--expect", "0", "--operation", "op-1", "--timeout", "1", file.toString()};

        assertEquals(runWithEntries(apply), ExitCode.UNSETTLED.code());
        assertTrue(err.toString().contains("--operation op-1"), err.toString());
        table.unavailable = false;
        table.lostCommits = 1;
        assertEquals(runWithEntries(apply), ExitCode.DONE.code());
        assertEquals(runWithEntries(apply), ExitCode.DONE.code());
        assertTrue(out.toString().contains("accepted as version 1 (by an earlier attempt)"), out.toString());
    }

    // -- zone

    @Test
    public void shouldListUnconfirmedProcesses() {
        cluster.processes = List.of(process("agent-1", 1), process("agent-2", 0));
        assertEquals(runWithEntries("zone", "out", "thrissur", "--wait", "1"), ExitCode.NOT_IN_FORCE.code());
        assertEquals(err.toString().trim(), "not confirmed: agent agent-2 (version 0)");

        cluster.processes = List.of(process("agent-1", 1), process("agent-2", 1));
        assertEquals(runWithEntries("zone", "out", "thrissur", "--wait=1", "--json"), ExitCode.DONE.code());
        assertTrue(out.toString().contains("\"inForce\":true"), out.toString());
    }

    @Test
    public void shouldWarnWhenNoLiveProcessIsInZone() {
        cluster.processes = List.of(process("agent-1", 1));

        assertEquals(runWithEntries("zone", "out", "trissur"), ExitCode.DONE.code());
        assertTrue(err.toString().contains("no live process is in zone trissur; zones in use: [thrissur]"));
        err.getBuffer().setLength(0);
        runWithEntries("zone", "out", "thrissur");
        assertEquals(err.toString(), "");
    }

    // -- status

    @Test
    public void shouldShowZonesThatAreOut() {
        runWithEntries("zone", "out", "thrissur");

        assertEquals(runWithEntries("status"), ExitCode.DONE.code());
        assertTrue(out.toString().contains("zone thrissur is out"), out.toString());
    }

    @Test
    public void shouldListSilentUnconfirmedEntry() {
        runWithEntries("zone", "out", "thrissur");
        cluster.processes = List.of(
                process("agent-1", 1),
                new ProcessStatus(ProcessKind.ENTRY, "entry-2", "", ConfigVersion.NONE, ProcessCondition.SILENT, 0));

        assertEquals(runWithEntries("status"), ExitCode.DONE.code());
        assertTrue(out.toString().contains("version 1, not in force everywhere"), out.toString());
        assertTrue(out.toString().contains("not confirmed: entry entry-2 (version 0, silent)"), out.toString());
    }

    // -- usage

    @DataProvider
    public Object[][] wrongUsage() {
        return new Object[][] {
            {new String[] {}},
            {new String[] {"rules"}},
            {new String[] {"rules", "apply", "file"}},
            {new String[] {"zone", "out", "two words"}},
            {new String[] {"status", "--entry", "localhost:1"}},
        };
    }

    @Test(dataProvider = "wrongUsage")
    public void shouldRejectWrongUsage(String[] args) {
        assertEquals(run(args), 2);
    }

    @Test
    public void shouldReturnUnreachableWhenNoEntryIsReachable() {
        int code = run("zone", "out", "a", "--entry", "127.0.0.1:" + unusedPort(), "--timeout", "1");

        assertEquals(code, ExitCode.UNREACHABLE.code(), err.toString());
    }

    /** Runs a command with two entries, of which the first is unreachable, so that the second must be tried. */
    private int runWithEntries(String... args) {
        String[] all = new String[args.length + 2];
        System.arraycopy(args, 0, all, 0, args.length);
        all[args.length] = "--entry";
        all[args.length + 1] = "127.0.0.1:" + unusedPort() + ",127.0.0.1:" + address.getPort();
        return run(all);
    }

    private int run(String... args) {
        return new CommandLine(new CtlCommand())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(args);
    }

    private static int unusedPort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ProcessStatus process(String name, long version) {
        return new ProcessStatus(
                ProcessKind.AGENT, name, "thrissur", ConfigVersion.of(version), ProcessCondition.LIVE, 8);
    }

    private static final class StubCluster implements Cluster {
        private volatile List<ProcessStatus> processes = List.of();
        private volatile HeldConfig held = new HeldConfig(ConfigVersion.NONE, "", "", Set.of(), true);

        @Override
        public boolean isStopping() {
            return false;
        }

        @Override
        public CompletionStage<List<ProcessStatus>> processes() {
            return CompletableFuture.completedStage(processes);
        }

        @Override
        public CompletionStage<HeldConfig> heldConfig() {
            return CompletableFuture.completedStage(held);
        }

        @Override
        public CompletionStage<Void> push(ConfigVersion version, String text, String operation) {
            Rules rules = RulesParser.parse(text).fold(r -> r, faults -> Rules.empty());
            held = new HeldConfig(version, text, operation, rules.zonesOut(), true);
            return CompletableFuture.completedStage(null);
        }
    }

    private static final class LossyTable implements TableService {
        private final InMemoryTable rows = InMemoryTable.empty();
        private volatile boolean unavailable;
        private volatile int lostCommits;

        @Override
        public CompletionStage<TableResult> read(String key) {
            return answer(unavailable ? unavailableResult() : rows.read(key));
        }

        @Override
        public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
            return answer(unavailable ? unavailableResult() : rows.scan(fromInclusive, toExclusive, limit));
        }

        @Override
        public CompletionStage<TableResult> commit(Transaction transaction) {
            TableResult result = unavailable ? unavailableResult() : rows.commit(transaction);
            return answer(lostCommits-- > 0 ? unavailableResult() : result);
        }

        private static TableResult unavailableResult() {
            return new TableResult.Unavailable("table service unavailable");
        }

        private static CompletionStage<TableResult> answer(TableResult result) {
            return CompletableFuture.completedStage(result);
        }
    }
}
