package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.teaselhook.core.rules.RuleName;

/**
 * A mapping of a settings file that is being read. Collects faults instead of failing at the first one, so that all are
 * reported together. For a faulty value, the accessor returns a placeholder; settings with faults are discarded.
 */
final class SettingsNode {

    private static final YAMLMapper MAPPER = YAMLMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final InetSocketAddress PLACEHOLDER = new InetSocketAddress(0);
    private static final String ADDRESS_REMEDY = "write an IP address and a port, such as 10.0.0.1:9090 or [::1]:9090";

    private final String prefix;
    private final JsonNode node;
    private final List<SettingFault> faults;
    private final Set<String> knownKeys = new HashSet<>();
    private final List<SettingsNode> sections = new ArrayList<>();

    private SettingsNode(String prefix, JsonNode node, List<SettingFault> faults) {
        this.prefix = prefix;
        this.node = node;
        this.faults = faults;
    }

    static <T> SettingsResult<T> parse(String yaml, Function<SettingsNode, T> read) {
        List<SettingFault> faults = new ArrayList<>();
        SettingsNode root = new SettingsNode("", parseTree(yaml, faults), faults);
        if (!faults.isEmpty()) {
            return new SettingsResult.Rejected<>(faults);
        }
        T settings = read.apply(root);
        root.rejectUnknownKeys();
        return faults.isEmpty() ? new SettingsResult.Accepted<>(settings) : new SettingsResult.Rejected<>(faults);
    }

    // -- accessors

    String name(String key) {
        return required(key).map(value -> checkedName(key, value)).orElse("");
    }

    String name(String key, String defaultValue) {
        return optional(key).map(value -> checkedName(key, value)).orElse(defaultValue);
    }

    InetSocketAddress address(String key) {
        return required(key).map(value -> checkedAddress(key, value)).orElse(PLACEHOLDER);
    }

    InetSocketAddress address(String key, InetSocketAddress defaultValue) {
        return optional(key).map(value -> checkedAddress(key, value)).orElse(defaultValue);
    }

    Optional<InetSocketAddress> optionalAddress(String key) {
        return optional(key).map(value -> checkedAddress(key, value));
    }

    List<InetSocketAddress> addresses(String key, int min) {
        Optional<JsonNode> list = min > 0 ? required(key) : optional(key);
        if (list.isEmpty()) {
            return List.of();
        }
        if (!list.get().isArray()) {
            addFault(key, list.get(), SettingFaultKind.MALFORMED, "write a list, such as [10.0.0.1:9090]");
            return List.of();
        }
        if (list.get().size() < min) {
            addFault(key, list.get(), SettingFaultKind.MALFORMED, "list at least " + min + " address");
        }
        List<InetSocketAddress> result = new ArrayList<>();
        for (int i = 0; i < list.get().size(); i++) {
            result.add(checkedAddress(key + "[" + i + "]", list.get().get(i)));
        }
        return result;
    }

    long number(String key, long min, long max, long defaultValue) {
        return optional(key).map(value -> checkedNumber(key, value, min, max)).orElse(defaultValue);
    }

    Duration seconds(String key, long min, long max, long defaultValue) {
        return Duration.ofSeconds(number(key, min, max, defaultValue));
    }

    boolean flag(String key, boolean defaultValue) {
        Optional<JsonNode> value = optional(key);
        if (value.isPresent() && !value.get().isBoolean()) {
            addFault(key, value.get(), SettingFaultKind.MALFORMED, "write true or false");
        }
        return value.map(JsonNode::booleanValue).orElse(defaultValue);
    }

    /** Reads an enum constant, written in lower case with hyphens. */
    <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        Optional<JsonNode> value = optional(key);
        List<E> constants = List.of(type.getEnumConstants());
        Optional<E> chosen = value.flatMap(text -> constants.stream()
                .filter(constant -> keyword(constant).equals(text.asText()))
                .findFirst());
        if (value.isPresent() && chosen.isEmpty()) {
            String remedy = "write one of "
                    + constants.stream().map(SettingsNode::keyword).toList();
            addFault(key, value.get(), SettingFaultKind.MALFORMED, remedy);
        }
        return chosen.orElse(defaultValue);
    }

    private static String keyword(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    SettingsNode section(String key) {
        JsonNode value = optional(key).orElse(JsonNodeFactory.instance.objectNode());
        if (!value.isObject()) {
            addFault(key, value, SettingFaultKind.MALFORMED, "write its settings below it, one per indented line");
        }
        JsonNode mapping = value.isObject() ? value : JsonNodeFactory.instance.objectNode();
        SettingsNode section = new SettingsNode(prefix + key + ".", mapping, faults);
        sections.add(section);
        return section;
    }

    // -- checks

    private String checkedName(String key, JsonNode value) {
        if (!value.isTextual() || !RuleName.isValid(value.textValue())) {
            addFault(key, value, SettingFaultKind.MALFORMED, RuleName.REMEDY);
        }
        return value.asText();
    }

    private InetSocketAddress checkedAddress(String key, JsonNode value) {
        Optional<InetSocketAddress> address =
                value.isTextual() ? SocketAddresses.parse(value.textValue()) : Optional.empty();
        if (address.isEmpty()) {
            addFault(key, value, SettingFaultKind.MALFORMED, ADDRESS_REMEDY);
        }
        return address.orElse(PLACEHOLDER);
    }

    private long checkedNumber(String key, JsonNode value, long min, long max) {
        String remedy = "write a whole number from " + min + " to " + max;
        if (!value.isIntegralNumber()) {
            addFault(key, value, SettingFaultKind.MALFORMED, remedy);
            return min;
        }
        if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
            addFault(key, value, SettingFaultKind.OUT_OF_RANGE, remedy);
            return min;
        }
        return value.longValue();
    }

    private void rejectUnknownKeys() {
        node.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.contains(key)) {
                String remedy = "remove it, or use one of "
                        + knownKeys.stream().sorted().toList();
                addFault(key, JsonNodeFactory.instance.textNode(""), SettingFaultKind.UNKNOWN_KEY, remedy);
            }
        });
        sections.forEach(SettingsNode::rejectUnknownKeys);
    }

    // -- lookup

    private Optional<JsonNode> required(String key) {
        Optional<JsonNode> value = optional(key);
        if (value.isEmpty()) {
            String remedy = "add a line `" + key + ": ...`";
            addFault(key, JsonNodeFactory.instance.textNode(""), SettingFaultKind.MISSING, remedy);
        }
        return value;
    }

    private Optional<JsonNode> optional(String key) {
        knownKeys.add(key);
        return Optional.ofNullable(node.get(key)).filter(value -> !value.isNull());
    }

    private void addFault(String key, JsonNode value, SettingFaultKind kind, String remedy) {
        String found = value.isValueNode() ? value.asText() : value.toString();
        faults.add(new SettingFault(prefix + key, found, kind, remedy));
    }

    private static JsonNode parseTree(String yaml, List<SettingFault> faults) {
        try {
            JsonNode tree = MAPPER.readTree(yaml);
            if (tree.isObject()) {
                return tree;
            }
            faults.add(new SettingFault(
                    "(file)", tree.asText(), SettingFaultKind.MALFORMED, "write one `key: value` pair per line"));
        } catch (JsonProcessingException e) {
            faults.add(new SettingFault("(file)", "", SettingFaultKind.NOT_YAML, e.getOriginalMessage()));
        }
        return JsonNodeFactory.instance.objectNode();
    }
}
