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

/// A cut between the callers and the server, in addition to a fault.
enum class ProxyCut {
  kNone,
  kSilent,     ///< connections hang, new ones too
  kReset,      ///< open connections are reset, new ones refused
  kRefuseNew,  ///< open connections live on, new ones are refused
};

/// The names of the cuts in the output.
inline constexpr auto kProxyCutNames = base::MakeEnumTable<ProxyCut>({
    {ProxyCut::kNone, "none"},
    {ProxyCut::kSilent, "silent"},
    {ProxyCut::kReset, "reset"},
    {ProxyCut::kRefuseNew, "refuse-new"},
});

/// Forwards connections from a loopback port to `target`. A connection that
/// dropped data keeps dropping it after the fault or cut is over, like a
/// connection whose state was lost on the network. Not thread-safe: everything
/// runs on the single thread of the executor.
class LoopbackProxy {
 public:
  /// Listens on a free port. Precondition: `target` is `ip:port`.
  LoopbackProxy(const boost::asio::any_io_executor& executor,
                const std::string& target);

  /// Starts to accept connections. Precondition: not called before.
  void Start();
  /// Sets the fault of open and new connections.
  void SetFault(ProxyFault fault);
  /// Sets the cut, which lasts until the next call. Throws
  /// boost::system::system_error if the port can't be bound again.
  /// Precondition: started.
  void SetCut(ProxyCut cut);
  /// Closes all open connections with a TCP reset, unless the cut is silent.
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

  /// Binds the port again without listening, so that connections are refused.
  /// Connections that were not accepted yet are reset.
  void StopListening();
  /// Listens with a full queue, so that new connections hang.
  void ListenWithFullQueue();
  /// Makes open connections drop data from now on.
  void DropData(bool to_server, bool to_caller);
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
  /// Fills the queue of the acceptor during a silent cut.
  tcp::socket queue_filler;
  ProxyFault fault = ProxyFault::kNone;
  ProxyCut cut = ProxyCut::kNone;
  std::vector<std::weak_ptr<Connection>> connections;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_LOOPBACK_PROXY_H_
