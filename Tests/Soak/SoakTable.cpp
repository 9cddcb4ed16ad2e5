#include <Soak/SoakTable.h>

#include <iomanip>
#include <map>
#include <sstream>

namespace Sapphire {

namespace {

constexpr int statusOk = 200;
constexpr int nameWidth = 24;
constexpr int numberWidth = 10;

struct Row
{
    std::string name;
    int faults { 0 };
    int sent { 0 };
    int served { 0 };
    int refused { 0 };
    int failed { 0 };
    int unanswered { 0 };

    void count(const CallerRecord &request)
    {
        ++sent;
        served += request.status == statusOk ? 1 : 0;
        refused += request.isRefused() ? 1 : 0;
        failed += request.status != 0 && request.status != statusOk && !request.isRefused() ? 1 : 0;
        unanswered += request.status == 0 ? 1 : 0;
    }
};

bool isDuring(const CallerRecord &request, const SoakFault &fault, TimePoint startedAt)
{
    return request.sentAt >= startedAt + fault.from && request.sentAt <= startedAt + fault.to;
}

Row rowOf(const SoakFaultType &type, const SoakRecord &record)
{
    Row row { std::string(type.name) };
    for (const SoakFault &fault : record.faults) {
        row.faults += fault.kind == type.kind ? 1 : 0;
    }
    for (const CallerRecord &request : record.requests) {
        for (const SoakFault &fault : record.faults) {
            if (fault.kind == type.kind && isDuring(request, fault, record.startedAt)) {
                row.count(request);
                break;
            }
        }
    }
    return row;
}

void write(std::ostream &out, const Row &row)
{
    out << std::left << std::setw(nameWidth) << row.name << std::right;
    for (const int number : { row.faults, row.sent, row.served, row.refused, row.failed, row.unanswered }) {
        out << std::setw(numberWidth) << number;
    }
    out << "\n";
}

} // namespace

std::string soakTable(const SoakRecord &record)
{
    std::ostringstream out;
    out << std::left << std::setw(nameWidth) << "injected" << std::right;
    for (const char *column : { "times", "sent", "served", "refused", "failed", "unanswered" }) {
        out << std::setw(numberWidth) << column;
    }
    out << "\n";
    for (const SoakFaultType &type : soakFaultTypes()) {
        const Row row = rowOf(type, record);
        if (row.faults > 0) {
            write(out, row);
        }
    }
    Row all { "whole run" };
    all.faults = static_cast<int>(record.faults.size());
    for (const CallerRecord &request : record.requests) {
        all.count(request);
    }
    write(out, all);
    std::map<int, int> statuses;
    for (const CallerRecord &request : record.requests) {
        ++statuses[request.status];
    }
    out << "by status:";
    for (const auto &[status, count] : statuses) {
        out << " " << status << " " << count;
    }
    out << "\n";
    return out.str();
}

} // namespace Sapphire
