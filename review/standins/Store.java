package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/**
 * Stand-in of the platform's metadata store: objects with revisions, lists, watches and conditional
 * writes. Each machine may have an address of its own, at which the addresses of servers are those
 * of the machine's links.
 */
final class Store implements AutoCloseable {
  private static final String PREFIX = "/-/objects/";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A change of an object; {@code gone} if it was removed. */
  private record Change(long revision, String key, ObjectNode object, boolean gone) {}

  private final Map<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private long revision = 100;

  /** Opens an address of the store; {@code view} changes the addresses of servers. */
  String open(UnaryOperator<String> view) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(exchange, view));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes an object as the operator or a server; its return is the acknowledgement. */
  synchronized void put(String key, JsonNode specification) {
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", key.substring(key.indexOf('/') + 1));
    metadata.put("revision", ++revision);
    metadata.put("made", revision);
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("specification", specification);
    object.putNull("status");
    objects.put(key, object);
    history.add(new Change(revision, key, object, false));
    notifyAll();
  }

  private void handle(HttpExchange exchange, UnaryOperator<String> view) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath().substring(PREFIX.length());
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    JsonNode sent = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
    switch (exchange.getRequestMethod()) {
      case "POST" -> write(exchange, path + "/" + sent.at("/metadata/name").asText(), sent, true);
      case "PUT" -> write(exchange, path, sent, false);
      case "GET" -> {
        if (path.contains("/")) {
          read(exchange, path);
        } else if (query.contains("watch=")) {
          watch(exchange, path, query, view);
        } else {
          list(exchange, path, view);
        }
      }
      default -> respond(exchange, 404, JSON.createObjectNode());
    }
  }

  private void read(HttpExchange exchange, String key) throws IOException {
    ObjectNode object;
    synchronized (this) {
      object = objects.get(key);
    }
    boolean isFound = object != null;
    respond(exchange, isFound ? 200 : 404, isFound ? object : JSON.createObjectNode());
  }

  private void write(HttpExchange exchange, String key, JsonNode sent, boolean create)
      throws IOException {
    ObjectNode answer;
    int status;
    synchronized (this) {
      ObjectNode stored = objects.get(key);
      long expected = sent.at("/metadata/revision").asLong(-1);
      boolean isOther =
          stored != null && expected >= 0 && stored.at("/metadata/revision").asLong() != expected;
      boolean conflict = create ? stored != null : isOther;
      if (!create && stored == null) {
        status = 404;
        answer = JSON.createObjectNode();
      } else if (conflict) {
        status = 409;
        answer = stored;
      } else {
        put(key, sent.path("specification"));
        status = 200;
        answer = objects.get(key);
      }
    }
    respond(exchange, status, answer);
  }

  private void list(HttpExchange exchange, String kind, UnaryOperator<String> view)
      throws IOException {
    ObjectNode answer = JSON.createObjectNode();
    synchronized (this) {
      ArrayNode items = answer.putArray("items");
      objects.forEach(
          (key, object) -> {
            if (key.startsWith(kind + "/")) {
              items.add(seen(object, view));
            }
          });
      answer.put("more", false).put("at", revision);
    }
    respond(exchange, 200, answer);
  }

  private void watch(HttpExchange exchange, String kind, String query, UnaryOperator<String> view)
      throws IOException {
    long after = number(query, "watch");
    long endNanos = System.nanoTime() + 1_000_000 * Math.min(30_000, number(query, "waitMs"));
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode events = answer.putArray("events");
    synchronized (this) {
      while (events.isEmpty()) {
        for (Change change : history) {
          if (change.revision > after && change.key.startsWith(kind + "/")) {
            events.addObject().put("gone", change.gone).set("object", seen(change.object, view));
          }
        }
        long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
        if (!events.isEmpty() || leftMs <= 0) {
          break;
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          return;
        }
      }
      answer.put("at", revision);
    }
    respond(exchange, 200, answer);
  }

  private static JsonNode seen(ObjectNode object, UnaryOperator<String> view) {
    ObjectNode copy = object.deepCopy();
    JsonNode address = copy.at("/specification/address");
    if (address.isTextual()) {
      ((ObjectNode) copy.get("specification")).put("address", view.apply(address.asText()));
    }
    return copy;
  }

  private static long number(String query, String name) {
    for (String part : query.split("&")) {
      if (part.startsWith(name + "=")) {
        return Long.parseLong(part.substring(name.length() + 1));
      }
    }
    return 0;
  }

  private static void respond(HttpExchange exchange, int status, JsonNode answer)
      throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
  }
}
