package org.teaselhook.net.table;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

public class FailoverTableServiceTest {

    // -- calls

    @Test
    public void shouldGoToNextAddressAfterOneDoesNotAnswerAndNeverRepeatCall() {
        Counting first = new Counting(new TableResult.Unavailable("cut"));
        Counting second = new Counting(new TableResult.Committed());
        TableService table = FailoverTableService.of(List.of(first, second));

        assertEquals(commit(table), first.result);
        assertEquals(second.calls, 0);
        assertEquals(commit(table), second.result);
        assertEquals(commit(table), second.result);
        assertEquals(first.calls, 1);
        second.result = new TableResult.Unavailable("cut");
        commit(table);
        commit(table);
        assertEquals(first.calls, 2);
    }

    // -- of

    @Test
    public void shouldUseOnlyAddressDirectly() {
        Counting only = new Counting(new TableResult.NotFound());

        assertSame(FailoverTableService.of(List.of(only)), only);
    }

    private static TableResult commit(TableService table) {
        return table.commit(Transaction.empty()).toCompletableFuture().join();
    }

    private static final class Counting implements TableService {
        private TableResult result;
        private int calls;

        Counting(TableResult result) {
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
            return CompletableFuture.completedStage(result);
        }
    }
}
