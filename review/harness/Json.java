package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.blanks();
        if (reader.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            result.put((String) pairs[i], pairs[i + 1]);
        }
        return result;
    }

    static long number(Map<String, Object> map, String key, long fallback) {
        return map.get(key) instanceof Number number ? number.longValue() : fallback;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((k, v) -> parts.add(quote((String) k) + ":" + write(v)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String value) {
        StringBuilder result = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                result.append('\\').append(c);
            } else if (c < ' ') {
                result.append(String.format("\\u%04x", (int) c));
            } else {
                result.append(c);
            }
        }
        return result.append('"').toString();
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> result = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                blanks();
                String key = string();
                blanks();
                expect(':');
                result.put(key, value());
                separator('}');
            }
            at++;
            return result;
        }
        if (c == '[') {
            List<Object> result = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                result.add(value());
                separator(']');
            }
            at++;
            return result;
        }
        return c == '"' ? string() : literal();
    }

    private void separator(char end) {
        blanks();
        if (text.charAt(at) != end) {
            expect(',');
            blanks();
        }
    }

    private void expect(char c) {
        if (text.charAt(at) != c) {
            throw new IllegalArgumentException("no " + c + " at " + at);
        }
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder result = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'b' -> c = '\b';
                    case 'f' -> c = '\f';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> {}
                }
            }
            result.append(c);
        }
        at++;
        return result.toString();
    }

    private Object literal() {
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                if (word.matches("-?[0-9]+")) {
                    return Long.parseLong(word);
                }
                return Double.parseDouble(word);
        }
    }
}
