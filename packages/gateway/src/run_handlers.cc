#include "run_handlers.h"

#include <boost/exception/exception.hpp>
#include <exception>
#include <new>

namespace gypsumtrack::gateway {
namespace {

std::string ReasonOf(const boost::exception& error) {
  const auto* standard = dynamic_cast<const std::exception*>(&error);
  return standard == nullptr ? "unknown" : standard->what();
}

}  // namespace

void RunHandlers(boost::asio::io_context& context,
                 const HandlerExceptionHook& on_exception) {
  bool is_done = false;
  while (!is_done) {
    try {
      context.run();
      is_done = true;
    } catch (const boost::exception& error) {
      if (dynamic_cast<const std::bad_alloc*>(&error) != nullptr) throw;
      on_exception(ReasonOf(error));
    }
  }
}

}  // namespace gypsumtrack::gateway
