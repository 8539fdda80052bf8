package org.teaselhook.core.rules;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Reads a rules file. Every text has a result; none makes the parser fail.
 *
 * <pre>{@code
 * kind patchdesk booking once timeout=5s run=200ms  # Meera: one crew for each booking
 * customer pandal weight=3 max-tasks=2000           # Meera: Monday's backlog
 * limit job-tasks 400                               # Ilze: school orders
 * zone thrissur out                                 # Anil: power work until Tuesday
 * }</pre>
 */
public final class RulesParser {

    /** The greatest length of a rules file. */
    public static final int MAX_CHARS = 1 << 20;

    /** The greatest timeout and declared run time of a kind. */
    public static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_TASKS = 10_000_000;
    private static final String KIND_FORM = "kind <service> <kind> idempotent|once timeout=4s run=300ms";
    private static final String CUSTOMER_FORM = "customer <name> weight=1 max-tasks=1000";
    private static final String ZONE_FORM = "zone <name> out; a zone without such a line is in service";
    private static final String LIMIT_FORM = "limit job-tasks <number> or limit body-bytes <number>";

    private final List<RuleFault> faults = new ArrayList<>();
    private final Map<String, Integer> subjects = new HashMap<>();
    private final List<KindRule> kinds = new ArrayList<>();
    private final List<CustomerRule> customers = new ArrayList<>();
    private final List<String> zonesOut = new ArrayList<>();
    private final Map<LimitKind, Long> limits = new EnumMap<>(LimitKind.class);

    private RulesParser() {}

    /**
     * Reads a rules file.
     *
     * @param text the whole text
     * @return the rules, or every fault
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
            parser.readLine(i + 1, lines.get(i));
        }
        return parser.result();
    }

    private RulesResult result() {
        if (!faults.isEmpty()) {
            return new RulesResult.Rejected(faults);
        }
        return new RulesResult.Accepted(Rules.of(kinds, customers, zonesOut, limits));
    }

    // -- lines

    private void readLine(int number, String text) {
        RuleLine line = RuleLine.of(number, text);
        if (!text.chars().allMatch(c -> RuleLine.isPlain((char) c))) {
            faults.add(line.fault(RuleFaultKind.BAD_CHARACTER, text, ""));
            return;
        }
        if (line.words().isEmpty()) {
            return;
        }
        if (!line.namesAuthor()) {
            faults.add(line.fault(RuleFaultKind.NO_AUTHOR, line.comment(), ""));
        }
        readRule(line);
    }

    private void readRule(RuleLine line) {
        switch (line.word(0)) {
            case "kind" -> readKind(line);
            case "customer" -> readCustomer(line);
            case "zone" -> readZone(line);
            case "limit" -> readLimit(line);
            default -> faults.add(line.fault(RuleFaultKind.UNKNOWN_RULE, line.word(0), ""));
        }
    }

    private void readKind(RuleLine line) {
        int before = faults.size();
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
        RulePairs pairs = RulePairs.of(line, 4, faults);
        Duration timeout = pairs.duration("timeout", MAX_TIMEOUT);
        Duration run = pairs.duration("run", MAX_TIMEOUT);
        pairs.refuseUnknownKeys();
        if (isFirst(line, "kind " + service + " " + kind) && faults.size() == before) {
            kinds.add(new KindRule(service, kind, idempotent, timeout, run));
        }
    }

    private void readCustomer(RuleLine line) {
        int before = faults.size();
        if (line.words().size() < 2) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, line.word(0), CUSTOMER_FORM));
            return;
        }
        String customer = name(line, 1);
        RulePairs pairs = RulePairs.of(line, 2, faults);
        int weight = (int) pairs.number("weight", 1, MAX_WEIGHT);
        int maxTasks = (int) pairs.number("max-tasks", 1, MAX_TASKS);
        pairs.refuseUnknownKeys();
        if (isFirst(line, "customer " + customer) && faults.size() == before) {
            customers.add(new CustomerRule(customer, weight, maxTasks));
        }
    }

    private void readZone(RuleLine line) {
        if (line.words().size() != 3 || !line.word(2).equals("out")) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, String.join(" ", line.words()), ZONE_FORM));
            return;
        }
        String zone = name(line, 1);
        if (isFirst(line, "zone " + zone)) {
            zonesOut.add(zone);
        }
    }

    private void readLimit(RuleLine line) {
        LimitKind kind = LimitKind.of(line.word(1)).orElse(null);
        if (line.words().size() != 3 || kind == null) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, String.join(" ", line.words()), LIMIT_FORM));
            return;
        }
        RuleLine pair = new RuleLine(line.number(), List.of(kind.word() + "=" + line.word(2)), line.comment());
        long value = RulePairs.of(pair, 0, faults).number(kind.word(), kind.least(), kind.greatest());
        if (isFirst(line, "limit " + kind.word())) {
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
        Integer earlier = subjects.putIfAbsent(subject, line.number());
        if (earlier != null) {
            faults.add(line.fault(RuleFaultKind.REPEATED_RULE, subject, "the earlier is line " + earlier));
        }
        return earlier == null;
    }
}
