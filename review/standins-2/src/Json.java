import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static Map<String, Object> map(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      for (skip(); text.charAt(at) != '}'; skip()) {
        if (text.charAt(at) == ',') {
          at++;
          skip();
        }
        String name = string();
        skip();
        at++;
        map.put(name, value());
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      for (skip(); text.charAt(at) != ']'; skip()) {
        if (text.charAt(at) == ',') {
          at++;
        }
        list.add(value());
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    for (; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      c = text.charAt(++at);
      if (c == 'u') {
        out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
        at += 4;
      } else {
        out.append(c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<String> fields = new ArrayList<>();
      map.forEach((name, field) -> fields.add(write(name) + ":" + write(field)));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof List<?> list) {
      List<String> elements = new ArrayList<>();
      list.forEach(element -> elements.add(write(element)));
      return "[" + String.join(",", elements) + "]";
    }
    if (value instanceof String string) {
      return '"'
          + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")
          + '"';
    }
    return String.valueOf(value);
  }
}
