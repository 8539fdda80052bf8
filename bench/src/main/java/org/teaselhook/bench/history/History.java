package org.teaselhook.bench.history;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** All events of a run in chronological order. */
public final class History {

    private final List<HistoryEvent> events;
    private final List<Call> calls;
    private final Map<String, List<HistoryEvent.Started>> startsByBody;

    private History(List<HistoryEvent> events) {
        this.events = events;
        this.calls = joinCalls();
        this.startsByBody = eventsOf(HistoryEvent.Started.class)
                .collect(Collectors.groupingBy(HistoryEvent.Started::body, LinkedHashMap::new, Collectors.toList()));
    }

    // -- factories

    /**
     * Returns the history of the given events.
     *
     * @param events the events in any order
     * @return the history
     */
    public static History of(List<HistoryEvent> events) {
        return new History(events.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atNanos))
                .toList());
    }

    // -- accessors

    /**
     * Returns every event.
     *
     * @return the events in chronological order
     */
    public List<HistoryEvent> events() {
        return events;
    }

    /**
     * Returns the events of one type.
     *
     * @param <E> the type
     * @param type the type
     * @return the events in chronological order
     */
    public <E extends HistoryEvent> Stream<E> eventsOf(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }

    /**
     * Returns the calls.
     *
     * @return the calls in the order in which they were sent
     */
    public List<Call> calls() {
        return calls;
    }

    /**
     * Returns the calls grouped by key.
     *
     * @return for each key its calls in the order in which they were sent
     */
    public Map<String, List<Call>> callsByKey() {
        return calls.stream()
                .collect(Collectors.groupingBy(call -> call.sent().key(), LinkedHashMap::new, Collectors.toList()));
    }

    /**
     * Returns the starts of a task.
     *
     * @param body the task's body
     * @return its starts in chronological order
     */
    public List<HistoryEvent.Started> starts(String body) {
        return startsByBody.getOrDefault(body, List.of());
    }

    /**
     * Returns the number of starts.
     *
     * @return the number of starts of all tasks
     */
    public int startCount() {
        return startsByBody.values().stream().mapToInt(List::size).sum();
    }

    private List<Call> joinCalls() {
        Map<Long, HistoryEvent.Answered> answers = new HashMap<>();
        eventsOf(HistoryEvent.Answered.class).forEach(answer -> answers.put(answer.call(), answer));
        return eventsOf(HistoryEvent.Submitted.class)
                .map(sent -> new Call(sent, Optional.ofNullable(answers.get(sent.call()))))
                .toList();
    }
}
