#ifndef GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_
#define GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/runtime.h"

/// Sending of batch items to endpoints.
namespace gypsumtrack::gateway {

/// Sends batch items to the endpoints that the batch scheduler chose.
class ItemSender {
 public:
  /// Precondition: `runtime` outlives the sender.
  ItemSender(const Runtime& runtime, FleetViewHook fleet);

  /// Makes one attempt at the item's endpoint. If it is stopped, the result
  /// holds a checkpoint from which the item's next attempt resumes; it is empty
  /// for services without a model. Thread-safe. Precondition: the sender
  /// outlives the call.
  boost::asio::awaitable<policy::RunResult> Send(ItemCall call);

 private:
  boost::asio::awaitable<policy::RunResult> SendOnStrand(ItemCall call);

  const Runtime& runtime;
  FleetViewHook fleet;
  EndpointClient client;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_
