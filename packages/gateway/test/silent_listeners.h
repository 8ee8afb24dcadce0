#ifndef GYPSUMTRACK_GATEWAY_TEST_SILENT_LISTENERS_H_
#define GYPSUMTRACK_GATEWAY_TEST_SILENT_LISTENERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

/// Addresses at which no connection opens.
namespace gypsumtrack::gateway {

/// A listener that accepts nothing and whose queue is full: connections to it
/// hang.
class HangingListener {
 public:
  HangingListener() : acceptor(this->context), queued(this->context) {
    using boost::asio::ip::tcp;
    const tcp::endpoint any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(any_port.protocol());
    this->acceptor.bind(any_port);
    this->acceptor.listen(0);
    this->queued.connect(this->acceptor.local_endpoint());
  }

  std::string address() const {  // NOLINT
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket queued;
};

/// An `ip:port` at which nothing listens.
inline std::string ClosedAddress() {
  boost::asio::io_context context;
  using boost::asio::ip::tcp;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_SILENT_LISTENERS_H_
