#ifndef LACEWINGBEAM_ADAPTERS_HEADER_NAMES_HPP
#define LACEWINGBEAM_ADAPTERS_HEADER_NAMES_HPP

#include <string_view>

// Names of the HTTP header fields described in docs/INTERFACE.md.
namespace lacewingbeam::header {

inline constexpr std::string_view ticket = "lacewingbeam-ticket";
inline constexpr std::string_view want_ticket = "lacewingbeam-want-ticket";
inline constexpr std::string_view next_ticket = "lacewingbeam-next-ticket";
inline constexpr std::string_view attempt = "lacewingbeam-attempt";
inline constexpr std::string_view timeout_ms = "lacewingbeam-timeout-ms";
inline constexpr std::string_view verdict = "lacewingbeam-verdict";
inline constexpr std::string_view forwarded = "lacewingbeam-forwarded";
inline constexpr std::string_view server = "lacewingbeam-server";
inline constexpr std::string_view attempts = "lacewingbeam-attempts";
inline constexpr std::string_view wrong_owner = "lacewingbeam-wrong-owner";
inline constexpr std::string_view not_run = "lacewingbeam-not-run";
inline constexpr std::string_view draining = "lacewingbeam-draining";
inline constexpr std::string_view idempotency_key = "idempotency-key";
inline constexpr std::string_view traceparent = "traceparent";
inline constexpr std::string_view load_metrics = "endpoint-load-metrics";
inline constexpr std::string_view forwarded_for = "x-forwarded-for";

} // namespace lacewingbeam::header

#endif
