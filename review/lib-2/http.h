#ifndef REVIEW_LIB_2_HTTP_H_
#define REVIEW_LIB_2_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "record.h"

/// HTTP/1.1 over blocking sockets, with a thread for each connection.
namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of a header, or an empty text.
std::string HeaderValue(const Headers& headers, const std::string& name);

/// A request as a server has read it.
struct Request {
  std::string method;
  std::string target;
  std::string path;
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    return HeaderValue(headers, name);
  }
  /// Returns the query's parameter, or an empty text.
  std::string Parameter(const std::string& name) const;
};

/// An open connection. Not thread-safe.
class Socket {
 public:
  explicit Socket(int descriptor) : fd(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Connects to `ip:port`; returns null on failure. `receive_buffer` is the
  /// size of the receive buffer in bytes; 0 leaves the system's.
  static std::unique_ptr<Socket> Connect(const std::string& address,
                                         milliseconds timeout,
                                         int receive_buffer = 0);

  /// Sends all bytes. Returns false if the other side has gone, or doesn't read
  /// for ten seconds.
  bool Send(const std::string& bytes);
  /// Appends what arrives to `buffer`. Returns false at the end, after an error
  /// or at `until`.
  bool Receive(std::string& buffer, Clock::time_point until);
  /// Whether the other side has closed the connection.
  bool HasEnded() const;
  /// Makes the destructor reset the connection.
  void ResetOnClose() const;

 private:
  const int fd;
};

/// Serves one request; returns whether the connection stays open.
using Handler = std::function<bool(const Request&, Socket&)>;

/// Sends a response with a length.
bool Respond(Socket& socket, unsigned status, const Headers& headers,
             const std::string& body);
/// The head of a response whose body comes in chunks.
std::string ChunkedHead(unsigned status, const Headers& headers);
/// One chunk of such a body; an empty one ends it.
std::string Chunk(const std::string& bytes);

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread.
class Server {
 public:
  Server(Handler handler, std::size_t max_head_bytes);
  /// Ends the listener; connections in use may outlive it.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// `ip:port`.
  const std::string& address() const { return this->listen_address; }

 private:
  void Accept();

  struct Shared {
    Handler handler;
    std::size_t max_head_bytes = 0;
  };
  static void Serve(const std::shared_ptr<Shared>& shared, int descriptor);

  std::shared_ptr<Shared> shared;
  int fd = -1;
  std::string listen_address;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

/// What a client received.
struct Reply {
  /// 0 if no whole head came.
  unsigned status = 0;
  Headers headers;
  std::string body;
  /// Whether the body came to its end.
  bool complete = false;
};

/// Sends one request on a new connection and reads its response.
Reply Call(const std::string& address, const std::string& method,
           const std::string& target, const Headers& headers,
           const std::string& body, milliseconds timeout);

/// The head and body of a request, as they are sent.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, const std::string& body);

}  // namespace review

#endif  // REVIEW_LIB_2_HTTP_H_
