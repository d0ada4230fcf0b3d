#include "bronzestand/error.h"

#include <array>
#include <vector>

#include "absl/strings/cord.h"
#include <boost/algorithm/string.hpp>
#include <fmt/format.h>

namespace bronzestand {
namespace {

constexpr const char *PayloadUrl = "bronzestand/error";
constexpr char FieldSeparator = '\x1f';

struct ErrorInfo {
  ErrorCode Code_;
  std::string_view Name_;
  absl::StatusCode Status_;
};

constexpr std::array<ErrorInfo, 16> ErrorTable{{
    {ErrorCode::InvalidSyntax, "invalid_syntax", absl::StatusCode::kInvalidArgument},
    {ErrorCode::MissingField, "missing_field", absl::StatusCode::kInvalidArgument},
    {ErrorCode::UnknownField, "unknown_field", absl::StatusCode::kInvalidArgument},
    {ErrorCode::WrongType, "wrong_type", absl::StatusCode::kInvalidArgument},
    {ErrorCode::OutOfRange, "out_of_range", absl::StatusCode::kInvalidArgument},
    {ErrorCode::InvalidValue, "invalid_value", absl::StatusCode::kInvalidArgument},
    {ErrorCode::DuplicateName, "duplicate_name", absl::StatusCode::kInvalidArgument},
    {ErrorCode::UnknownReference, "unknown_reference", absl::StatusCode::kInvalidArgument},
    {ErrorCode::UnknownPath, "unknown_path", absl::StatusCode::kInvalidArgument},
    {ErrorCode::Unreadable, "unreadable", absl::StatusCode::kNotFound},
    {ErrorCode::Unreachable, "unreachable", absl::StatusCode::kUnavailable},
    {ErrorCode::AuthenticationFailed, "authentication_failed", absl::StatusCode::kUnauthenticated},
    {ErrorCode::ProtocolViolation, "protocol_violation", absl::StatusCode::kInternal},
    {ErrorCode::TimedOut, "timed_out", absl::StatusCode::kDeadlineExceeded},
    {ErrorCode::ConnectionClosed, "connection_closed", absl::StatusCode::kUnavailable},
    {ErrorCode::ListenFailed, "listen_failed", absl::StatusCode::kUnavailable},
}};

const ErrorInfo &errorInfo(ErrorCode Code) { return ErrorTable[static_cast<std::size_t>(Code)]; }

} // namespace

std::string_view errorName(ErrorCode Code) { return errorInfo(Code).Name_; }

std::string describe(const ErrorDetail &Detail) {
  std::string Text = Detail.Source_;
  if (!Detail.Path_.empty())
    Text += ": " + Detail.Path_;
  return fmt::format("{}: {} ({})", Text, Detail.Reason_, errorName(Detail.Code_));
}

absl::Status makeError(const ErrorDetail &Detail) {
  absl::Status Status(errorInfo(Detail.Code_).Status_, describe(Detail));
  Status.SetPayload(PayloadUrl,
                    absl::Cord(fmt::format("{1}{0}{2}{0}{3}{0}{4}", FieldSeparator,
                                           static_cast<int>(Detail.Code_), Detail.Source_,
                                           Detail.Path_, Detail.Reason_)));
  return Status;
}

std::optional<ErrorDetail> errorDetail(const absl::Status &Status) {
  const auto Payload = Status.GetPayload(PayloadUrl);
  if (!Payload)
    return std::nullopt;
  const std::string Text(*Payload);
  std::vector<std::string> Fields;
  boost::split(Fields, Text, [](char C) { return C == FieldSeparator; });
  if (Fields.size() != 4)
    return std::nullopt;
  ErrorDetail Detail;
  Detail.Code_ = static_cast<ErrorCode>(std::stoi(Fields[0]));
  Detail.Source_ = std::move(Fields[1]);
  Detail.Path_ = std::move(Fields[2]);
  Detail.Reason_ = std::move(Fields[3]);
  return Detail;
}

} // namespace bronzestand
