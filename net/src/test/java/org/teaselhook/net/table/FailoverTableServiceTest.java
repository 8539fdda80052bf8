package org.teaselhook.net.table;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class FailoverTableServiceTest {

    // -- commit

    @Test
    public void shouldFailOverWithoutRetryingUnansweredTransaction() {
        RecordingTable unavailable = new RecordingTable(new TableResult.Unavailable("silent"));
        RecordingTable answering = new RecordingTable(new TableResult.Committed());
        FailoverTableService table = FailoverTableService.of(List.of(unavailable, answering));

        table.commit(Transaction.empty());
        assertEquals(List.of(unavailable.calls, answering.calls), List.of(1, 0));
        table.commit(Transaction.empty());
        table.read("row");
        assertEquals(List.of(unavailable.calls, answering.calls), List.of(1, 2));
    }

    private static final class RecordingTable implements TableService {

        private final TableResult result;
        private int calls;

        RecordingTable(TableResult result) {
            this.result = result;
        }

        @Override
        public CompletionStage<TableResult> read(String key) {
            return answer();
        }

        @Override
        public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
            return answer();
        }

        @Override
        public CompletionStage<TableResult> commit(Transaction transaction) {
            return answer();
        }

        private CompletionStage<TableResult> answer() {
            calls++;
            return CompletableFuture.completedFuture(result);
        }
    }
}
