import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: lists, reads, watches and conditional writes of objects, as
 * PROTOCOL.md describes them. Answers after 4 ms. An answer holds at most about 500 objects or 1 MB;
 * a watch continues from `at` as a list does after a name.
 */
final class Store {
  private record Event(long revision, String kind, Map<String, Object> object, boolean gone) {}

  private static final int PAGE = 500;

  /** Most characters of the objects in one answer, unless a single object is longer. */
  private static final int PAGE_CHARS = 1_000_000;

  private static final long ANSWER_MS = 4;

  /** With WATCH=whole, an answer to a watch holds all changes whatever their size. */
  private static final boolean WHOLE_WATCHES = "whole".equals(System.getenv("WATCH"));

  private final ServerSocket listener;
  private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 1;

  Store() throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Lab.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Lab.daemon(() -> serve(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  synchronized Map<String, Object> put(String kind, String name, Object specification) {
    revision++;
    Map<String, Object> object =
        Json.map(
            "metadata",
            Json.map(
                "name", name, "revision", revision, "made", revision, "finalizers", List.of(),
                "deleting", false),
            "specification",
            specification,
            "status",
            null);
    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
    return object;
  }

  synchronized void delete(String kind, String name) {
    Map<String, Object> object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (object != null) {
      revision++;
      events.add(new Event(revision, kind, object, true));
      notifyAll();
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      Http in = new Http(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message call = in.read();
        int[] status = {200};
        Object answer = answer(call, status);
        Thread.sleep(ANSWER_MS);
        byte[] body = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 "
                + status[0]
                + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
      }
    } catch (IOException e) {
      // The caller left.
    }
  }

  private synchronized Object answer(Http.Message call, int[] status) throws Exception {
    String[] words = call.first().split(" ");
    String[] target = words[1].split("\\?", 2);
    String[] path = target[0].split("/");
    String kind = path[3];
    String name = path.length > 4 ? path[4] : null;
    Map<String, String> query = new HashMap<>();
    if (target.length > 1) {
      for (String part : target[1].split("&")) {
        String[] pair = part.split("=", 2);
        query.put(pair[0], pair.length > 1 ? pair[1] : "");
      }
    }
    TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    switch (words[0]) {
      case "GET" -> {
        if (name != null) {
          status[0] = objects.containsKey(name) ? 200 : 404;
          return objects.getOrDefault(name, Map.of());
        }
        return query.containsKey("watch") ? watch(kind, query) : list(objects, query);
      }
      case "POST" -> {
        Map<String, Object> body = Json.object(new String(call.body(), StandardCharsets.UTF_8));
        String made = (String) ((Map<?, ?>) body.get("metadata")).get("name");
        if (objects.containsKey(made)) {
          status[0] = 409;
          return objects.get(made);
        }
        return put(kind, made, body.get("specification"));
      }
      case "PUT" -> {
        if (!objects.containsKey(name)) {
          status[0] = 404;
          return Map.of();
        }
        Map<String, Object> body = Json.object(new String(call.body(), StandardCharsets.UTF_8));
        Object expected = ((Map<?, ?>) body.get("metadata")).get("revision");
        Object current = ((Map<?, ?>) objects.get(name).get("metadata")).get("revision");
        if (expected != null && !expected.equals(current)) {
          status[0] = 409;
          return objects.get(name);
        }
        return put(kind, name, body.get("specification"));
      }
      default -> {
        delete(kind, name);
        return Map.of();
      }
    }
  }

  private static long chars(Map<String, Object> object) {
    return object.get("specification") instanceof String text ? text.length() : 500;
  }

  private Object list(TreeMap<String, Map<String, Object>> objects, Map<String, String> query) {
    List<Object> items = new ArrayList<>();
    boolean more = false;
    long chars = 0;
    for (Map.Entry<String, Map<String, Object>> each : objects.entrySet()) {
      if (each.getKey().compareTo(query.getOrDefault("after", "")) <= 0) {
        continue;
      }
      chars += chars(each.getValue());
      if (items.size() == PAGE || (chars > PAGE_CHARS && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(each.getValue());
    }
    return Json.map("items", items, "more", more, "at", revision);
  }

  private Object watch(String kind, Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("watch"));
    long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (true) {
      List<Object> found = new ArrayList<>();
      long chars = 0;
      long at = revision;
      for (Event event : events) {
        if (event.revision <= after || !event.kind.equals(kind)) {
          continue;
        }
        chars += WHOLE_WATCHES ? 0 : chars(event.object);
        if (found.size() == PAGE || (chars > PAGE_CHARS && !found.isEmpty())) {
          at = event.revision - 1;
          break;
        }
        found.add(Json.map("object", event.object, "gone", event.gone));
      }
      long left = end - System.nanoTime() / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        return Json.map("events", found, "at", at);
      }
      wait(left);
    }
  }
}
