package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;

/** Fills a settings template as the platform does: values, sections and their inversions. */
final class Template {
  private final Deque<JsonNode> scopes = new ArrayDeque<>();

  private Template() {}

  static String render(String text, JsonNode fields) {
    Template template = new Template();
    template.scopes.push(fields);
    return template.renderPart(text, "", true);
  }

  private String renderPart(String text, String key, boolean isLast) {
    StringBuilder out = new StringBuilder();
    int at = 0;
    while (true) {
      int open = text.indexOf("{{", at);
      if (open < 0) {
        return out.append(text.substring(at)).toString();
      }
      out.append(text, at, open);
      int close = text.indexOf("}}", open);
      String tag = text.substring(open + 2, close).trim();
      at = close + 2;
      if (tag.startsWith("#") || tag.startsWith("^")) {
        String name = tag.substring(1);
        String end = "{{/" + name + "}}";
        int endAt = text.indexOf(end, at);
        out.append(renderSection(tag.charAt(0), name, text.substring(at, endAt)));
        at = endAt + end.length();
      } else if (tag.equals(",")) {
        out.append(isLast ? "" : ",");
      } else if (tag.equals("@")) {
        out.append(key);
      } else {
        out.append(value(tag));
      }
    }
  }

  private String renderSection(char kind, String name, String inner) {
    JsonNode value = find(name);
    boolean isEmpty =
        value.isMissingNode() || value.isNull() || (value.isBoolean() && !value.asBoolean());
    if (kind == '^') {
      return isEmpty ? renderPart(inner, "", true) : "";
    }
    if (isEmpty) {
      return "";
    }
    StringBuilder out = new StringBuilder();
    if (value.isObject()) {
      var names = value.fieldNames();
      while (names.hasNext()) {
        String key = names.next();
        out.append(renderEntry(value.get(key), inner, key, !names.hasNext()));
      }
      return out.toString();
    }
    if (value.isArray()) {
      for (int i = 0; i < value.size(); i++) {
        out.append(renderEntry(value.get(i), inner, "" + i, i == value.size() - 1));
      }
      return out.toString();
    }
    return renderPart(inner, "", true);
  }

  private String renderEntry(JsonNode entry, String inner, String key, boolean isLast) {
    scopes.push(entry);
    String text = renderPart(inner, key, isLast);
    scopes.pop();
    return text;
  }

  private String value(String tag) {
    boolean asJson = tag.endsWith("|json");
    JsonNode value = find(asJson ? tag.substring(0, tag.length() - 5) : tag);
    if (value.isMissingNode() || value.isNull()) {
      return "";
    }
    return asJson || value.isContainerNode() ? value.toString() : value.asText();
  }

  private JsonNode find(String name) {
    if (name.equals(".")) {
      return scopes.peek();
    }
    for (JsonNode scope : scopes) {
      JsonNode value = scope;
      for (String step : name.split("\\.")) {
        value = value.isArray() ? value.path(Integer.parseInt(step)) : value.path(step);
      }
      if (!value.isMissingNode()) {
        return value;
      }
    }
    return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
  }
}
