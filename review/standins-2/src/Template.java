import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills the settings template as DEPLOY.md describes it. */
final class Template {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{([#^])([\\w.]+)\\}\\}(.*?)\\{\\{/\\2\\}\\}", Pattern.DOTALL);
  private static final Pattern GAP = Pattern.compile("\\{\\{([\\w.]+|@)(\\|json)?\\}\\}");

  private Template() {}

  static String fill(String text, Map<String, Object> fields) {
    Matcher section = SECTION.matcher(text);
    StringBuilder out = new StringBuilder();
    while (section.find()) {
      Object value = find(section.group(2), fields);
      boolean isGiven = value != null && !Boolean.FALSE.equals(value);
      boolean isWanted = section.group(1).equals("#") == isGiven;
      String body = section.group(3);
      String filled = "";
      if (isWanted && value instanceof List<?> list) {
        List<Object> entries = new ArrayList<>(list);
        filled = repeat(body, entries, null, fields);
      } else if (isWanted && value instanceof Map<?, ?> map) {
        filled =
            repeat(body, new ArrayList<>(map.values()), new ArrayList<>(map.keySet()), fields);
      } else if (isWanted) {
        filled = body;
      }
      section.appendReplacement(out, Matcher.quoteReplacement(filled));
    }
    section.appendTail(out);
    return gaps(out.toString(), fields);
  }

  private static String repeat(
      String body, List<Object> entries, List<Object> keys, Map<String, Object> fields) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < entries.size(); i++) {
      String each = body.replace("{{,}}", i + 1 < entries.size() ? "," : "");
      each = each.replace("{{.}}", String.valueOf(entries.get(i)));
      out.append(each.replace("{{@}}", String.valueOf(keys == null ? i : keys.get(i))));
    }
    return out.toString();
  }

  private static String gaps(String text, Map<String, Object> fields) {
    Matcher gap = GAP.matcher(text);
    StringBuilder out = new StringBuilder();
    while (gap.find()) {
      Object value = find(gap.group(1), fields);
      boolean asJson = gap.group(2) != null;
      String filled = value == null ? "" : asJson ? Json.write(value) : String.valueOf(value);
      gap.appendReplacement(out, Matcher.quoteReplacement(filled));
    }
    gap.appendTail(out);
    return out.toString();
  }

  private static Object find(String path, Object fields) {
    Object value = fields;
    for (String name : path.split("\\.")) {
      if (value instanceof Map<?, ?> map) {
        value = map.get(name);
      } else if (value instanceof List<?> list) {
        value = list.get(Integer.parseInt(name));
      } else {
        return null;
      }
    }
    return value;
  }
}
