package org.teaselhook.core.rules;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Parser of rules files. Every text has a result; no text causes an exception.
 *
 * <pre>{@code
 * kind patchdesk booking once timeout=5s run=200ms  # Meera: one crew for each booking
 * customer pandal weight=3 max-tasks=2000           # Meera: Monday's backlog
 * limit job-tasks 400                               # Ilze: school orders
 * zone thrissur out                                 # Anil: power work until Tuesday
 * }</pre>
 */
public final class RulesParser {

    /** The maximum length of a rules file in characters. */
    public static final int MAX_CHARS = 1 << 20;

    /** The maximum timeout and declared run time of a kind. */
    public static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_TASKS = 10_000_000;
    private static final String KIND_FORM = "kind <service> <kind> idempotent|once timeout=4s run=300ms";
    private static final String CUSTOMER_FORM = "customer <name> weight=1 max-tasks=1000";
    private static final String ZONE_FORM = "zone <name> out; a zone without such a line is in service";
    private static final String LIMIT_FORM = "limit job-tasks <number> or limit body-bytes <number>";

    private final List<RuleFault> faults = new ArrayList<>();
    private final Map<String, Integer> linesBySubject = new HashMap<>();
    private final List<KindRule> kinds = new ArrayList<>();
    private final List<CustomerRule> customers = new ArrayList<>();
    private final List<String> zonesOut = new ArrayList<>();
    private final Map<LimitKind, Long> limits = new EnumMap<>(LimitKind.class);

    private RulesParser() {}

    /**
     * Parses a rules file.
     *
     * @param text the complete text
     * @return the rules, or all faults
     */
    public static RulesResult parse(String text) {
        Objects.requireNonNull(text, "text is null");
        RulesParser parser = new RulesParser();
        if (text.length() > MAX_CHARS) {
            String size = text.length() + " characters";
            parser.faults.add(new RuleFault(1, RuleFaultKind.TOO_LARGE, size, "at most " + MAX_CHARS));
            return new RulesResult.Rejected(parser.faults);
        }
        List<String> lines = RulesText.of(text).lines();
        for (int i = 0; i < lines.size(); i++) {
            parser.parseLine(i + 1, lines.get(i));
        }
        return parser.result();
    }

    private RulesResult result() {
        if (!faults.isEmpty()) {
            return new RulesResult.Rejected(faults);
        }
        return new RulesResult.Accepted(Rules.of(kinds, customers, zonesOut, limits));
    }

    // -- parsing of lines

    private void parseLine(int number, String text) {
        RuleLine line = RuleLine.of(number, text);
        if (!text.chars().allMatch(c -> RuleLine.isAllowed((char) c))) {
            faults.add(line.fault(RuleFaultKind.BAD_CHARACTER, text, ""));
            return;
        }
        if (line.words().isEmpty()) {
            return;
        }
        if (!line.namesAuthor()) {
            faults.add(line.fault(RuleFaultKind.NO_AUTHOR, line.comment(), ""));
        }
        parseRule(line);
    }

    private void parseRule(RuleLine line) {
        switch (line.word(0)) {
            case "kind" -> parseKind(line);
            case "customer" -> parseCustomer(line);
            case "zone" -> parseZone(line);
            case "limit" -> parseLimit(line);
            default -> faults.add(line.fault(RuleFaultKind.UNKNOWN_RULE, line.word(0), ""));
        }
    }

    private void parseKind(RuleLine line) {
        int faultsBefore = faults.size();
        if (line.words().size() < 4) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, String.join(" ", line.words()), KIND_FORM));
            return;
        }
        String service = name(line, 1);
        String kind = name(line, 2);
        boolean idempotent = line.word(3).equals("idempotent");
        if (!idempotent && !line.word(3).equals("once")) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, line.word(3), KIND_FORM));
        }
        KeyValuePairs pairs = KeyValuePairs.of(line, 4, faults);
        Duration timeout = pairs.duration("timeout", MAX_TIMEOUT);
        Duration runTime = pairs.duration("run", MAX_TIMEOUT);
        pairs.rejectUnknownKeys();
        if (isFirst(line, "kind " + service + " " + kind) && faults.size() == faultsBefore) {
            kinds.add(new KindRule(service, kind, idempotent, timeout, runTime));
        }
    }

    private void parseCustomer(RuleLine line) {
        int faultsBefore = faults.size();
        if (line.words().size() < 2) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, line.word(0), CUSTOMER_FORM));
            return;
        }
        String customer = name(line, 1);
        KeyValuePairs pairs = KeyValuePairs.of(line, 2, faults);
        int weight = (int) pairs.number("weight", 1, MAX_WEIGHT);
        int maxTasks = (int) pairs.number("max-tasks", 1, MAX_TASKS);
        pairs.rejectUnknownKeys();
        if (isFirst(line, "customer " + customer) && faults.size() == faultsBefore) {
            customers.add(new CustomerRule(customer, weight, maxTasks));
        }
    }

    private void parseZone(RuleLine line) {
        if (line.words().size() != 3 || !line.word(2).equals("out")) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, String.join(" ", line.words()), ZONE_FORM));
            return;
        }
        String zone = name(line, 1);
        if (isFirst(line, "zone " + zone)) {
            zonesOut.add(zone);
        }
    }

    private void parseLimit(RuleLine line) {
        LimitKind kind = LimitKind.of(line.word(1)).orElse(null);
        if (line.words().size() != 3 || kind == null) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, String.join(" ", line.words()), LIMIT_FORM));
            return;
        }
        RuleLine pair = new RuleLine(line.number(), List.of(kind.keyword() + "=" + line.word(2)), line.comment());
        long value = KeyValuePairs.of(pair, 0, faults).number(kind.keyword(), kind.min(), kind.max());
        if (isFirst(line, "limit " + kind.keyword())) {
            limits.put(kind, value);
        }
    }

    // -- checks

    private String name(RuleLine line, int index) {
        String name = line.word(index);
        if (!RuleName.isValid(name)) {
            faults.add(line.fault(RuleFaultKind.BAD_NAME, name, ""));
        }
        return name;
    }

    private boolean isFirst(RuleLine line, String subject) {
        Integer earlier = linesBySubject.putIfAbsent(subject, line.number());
        if (earlier != null) {
            faults.add(line.fault(RuleFaultKind.REPEATED_RULE, subject, "the earlier one is line " + earlier));
        }
        return earlier == null;
    }
}
