package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The link from one machine to one server: a proxy that can be cut. */
final class Link implements AutoCloseable {
  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<Socket> open = new CopyOnWriteArrayList<>();

  Link(String target) throws IOException {
    int colon = target.lastIndexOf(':');
    this.target =
        new InetSocketAddress(
            target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
    this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Runner.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Cuts the link: connections are reset, and new ones are refused. */
  void cut() throws IOException {
    listener.close();
    open.forEach(Link::closeWithReset);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        Socket far = new Socket();
        far.connect(target, 1_000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        open.add(near);
        open.add(far);
        Runner.start(() -> copy(near, far));
        Runner.start(() -> copy(far, near));
      } catch (IOException e) {
        // The link was cut, or the server accepts nothing.
      }
    }
  }

  private static void copy(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[8_192];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
        out.flush();
      }
      to.shutdownOutput();
    } catch (IOException e) {
      closeWithReset(to);
      closeWithReset(from);
    }
  }

  private static void closeWithReset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  @Override
  public void close() throws IOException {
    cut();
  }
}
