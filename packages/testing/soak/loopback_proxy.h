#ifndef GYPSUMTRACK_TESTING_SOAK_LOOPBACK_PROXY_H_
#define GYPSUMTRACK_TESTING_SOAK_LOOPBACK_PROXY_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"

/// A TCP proxy on the loopback interface that injects faults into the
/// connections it forwards.
namespace gypsumtrack::testing {

/// A fault that the proxy injects.
enum class ProxyFault {
  kNone,
  kDelay,         ///< each read is forwarded 250 ms late
  kDropBoth,      ///< drops both directions without closing
  kDropToServer,  ///< drops requests, forwards responses
  kDropToCaller,  ///< forwards requests, drops responses
};

/// The names of the faults in the output.
inline constexpr auto kProxyFaultNames = base::MakeEnumTable<ProxyFault>({
    {ProxyFault::kNone, "none"},
    {ProxyFault::kDelay, "delay"},
    {ProxyFault::kDropBoth, "silent"},
    {ProxyFault::kDropToServer, "silent-to-server"},
    {ProxyFault::kDropToCaller, "silent-to-caller"},
});

/// Forwards connections from a loopback port to `target`. A connection that
/// dropped data keeps dropping it after the fault is cleared, like a connection
/// whose state was lost on the network. Not thread-safe: everything runs on the
/// single thread of the executor.
class LoopbackProxy {
 public:
  /// Listens on a free port. Precondition: `target` is `ip:port`.
  LoopbackProxy(const boost::asio::any_io_executor& executor,
                const std::string& target);

  /// Starts to accept connections. Precondition: called once.
  void Start();
  /// Sets the fault of open and new connections.
  void SetFault(ProxyFault fault);
  /// Closes all open connections with a TCP reset.
  void ResetConnections();

  /// `ip:port` on which the proxy listens.
  std::string address() const;  // NOLINT

 private:
  using tcp = boost::asio::ip::tcp;
  /// A forwarded connection.
  struct Connection {
    explicit Connection(const boost::asio::any_io_executor& executor)
        : caller(executor), server(executor) {}
    tcp::socket caller;
    tcp::socket server;
    bool drop_to_server = false;
    bool drop_to_caller = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// Accepts connections until the acceptor is closed.
  boost::asio::awaitable<void> Accept();
  /// Connects to the target and starts both directions.
  boost::asio::awaitable<void> ForwardConnection(ConnectionPtr connection);
  /// Forwards one direction until it ends.
  boost::asio::awaitable<void> ForwardBytes(ConnectionPtr connection,
                                            bool to_server);
  /// Closes the socket with a TCP reset.
  static void Reset(tcp::socket& socket);

  boost::asio::any_io_executor executor;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  ProxyFault fault = ProxyFault::kNone;
  std::vector<std::weak_ptr<Connection>> connections;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_LOOPBACK_PROXY_H_
