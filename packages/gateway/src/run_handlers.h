#ifndef GYPSUMTRACK_GATEWAY_SRC_RUN_HANDLERS_H_
#define GYPSUMTRACK_GATEWAY_SRC_RUN_HANDLERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

/// The event loop of a daemon's thread.
namespace gypsumtrack::gateway {

/// Called with the text of an exception, on the thread whose handler threw.
using HandlerExceptionHook = std::function<void(const std::string& reason)>;

/// Runs handlers until the context is stopped or out of work. If one throws an
/// exception of the Boost libraries, such as that of a parser for input that it
/// can't store, only its own operation ends: the coroutine that awaits it is
/// destroyed, which closes its connections, and the loop goes on. Other
/// exceptions, from broken invariants or for lack of memory, aren't caught. Any
/// number of threads may run the same context.
void RunHandlers(boost::asio::io_context& context,
                 const HandlerExceptionHook& on_exception);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_RUN_HANDLERS_H_
