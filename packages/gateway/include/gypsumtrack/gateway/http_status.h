#ifndef GYPSUMTRACK_GATEWAY_HTTP_STATUS_H_
#define GYPSUMTRACK_GATEWAY_HTTP_STATUS_H_

/// HTTP status codes that the gateway sends or checks.
namespace gypsumtrack::gateway::status {

inline constexpr unsigned kSwitchingProtocols = 101;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kCreated = 201;
inline constexpr unsigned kAccepted = 202;
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kRequestTimeout = 408;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kPreconditionFailed = 412;
inline constexpr unsigned kPayloadTooLarge = 413;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kUnprocessable = 422;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kHeadTooLarge = 431;
inline constexpr unsigned kServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;
inline constexpr unsigned kInsufficientStorage = 507;

/// Whether a response with this status tells callers of the serving daemon that
/// their request didn't run and never will.
constexpr bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace gypsumtrack::gateway::status

#endif  // GYPSUMTRACK_GATEWAY_HTTP_STATUS_H_
