#ifndef BRONZESTAND_ERROR_H
#define BRONZESTAND_ERROR_H

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace bronzestand {

/// Kinds of errors that are reported to operators and between components.
enum class ErrorCode {
  InvalidSyntax,
  MissingField,
  UnknownField,
  WrongType,
  OutOfRange,
  InvalidValue,
  DuplicateName,
  UnknownReference,
  UnknownPath,
  Unreadable,
  Unreachable,
  AuthenticationFailed,
  ProtocolViolation,
  TimedOut,
  ConnectionClosed,
  ListenFailed,
};

/// Returns the name of a code as it appears in logs, dumps and command output.
std::string_view errorName(ErrorCode Code);

/// An error with its location and reason.
struct ErrorDetail {
  ErrorCode Code_ = ErrorCode::InvalidValue;
  std::string Source_; ///< file, document path or address
  std::string Path_;   ///< field within the source; may be empty
  std::string Reason_; ///< short sentence without a final period
};

/// Formats a detail as "source: path: reason (code)".
std::string describe(const ErrorDetail &Detail);

/// Makes a status that has the detail as its payload.
absl::Status makeError(const ErrorDetail &Detail);

/// Returns the detail of a status made by makeError(), std::nullopt for any other status.
std::optional<ErrorDetail> errorDetail(const absl::Status &Status);

} // namespace bronzestand

#endif
