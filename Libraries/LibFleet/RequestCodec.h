#pragma once

#include <LibExchange/Messages.h>
#include <LibExchange/Refusal.h>
#include <LibFleet/RequestStateSource.h>

#include <Fleet.pb.h>

namespace Sapphire {

namespace wire = sapphire::wire;

// Translates between forwarded requests, with their answers, and the messages of Fleet.proto. Decoding fails with
// InvalidArgument if a part is missing or out of range.

void encode(const RequestHead &head, TimePoint now, wire::RequestHead &message);
[[nodiscard]] Result<RequestHead> decode(const wire::RequestHead &message, TimePoint now);
void encode(const AnswerHead &head, wire::AnswerHead &message);
[[nodiscard]] Result<AnswerHead> decode(const wire::AnswerHead &message);
void encode(const Refusal &refusal, TimePoint now, wire::Refusal &message);
[[nodiscard]] Result<Refusal> decode(const wire::Refusal &message, TimePoint now);

void encode(const RemoteRequestState &state, wire::RequestStateResponse &message);
[[nodiscard]] Result<RemoteRequestState> decode(const wire::RequestStateResponse &message);

} // namespace Sapphire
