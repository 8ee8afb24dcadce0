#ifndef GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_
#define GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/runtime.h"

/// Sends batch items to the endpoint that the batch decisions chose.
namespace gypsumtrack::gateway {

class ItemSender {
 public:
  /// Precondition: `runtime` outlives it.
  ItemSender(const Runtime& runtime, FleetViewHook fleet);

  /// One attempt at one endpoint. A stopped stream returns a checkpoint, from
  /// which the item's next attempt goes on. Thread-safe; precondition: the
  /// sender outlives the call.
  boost::asio::awaitable<policy::RunResult> Send(ItemCall call);

 private:
  boost::asio::awaitable<policy::RunResult> SendOnStrand(ItemCall call);

  const Runtime& runtime;
  FleetViewHook fleet;
  EndpointClient client;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ITEM_SENDER_H_
