package plumpost;

import java.util.List;

/**
 * Requests that are not sound, each by one rule of RFC 9110, RFC 9112 or the protocol page, and sound ones that look alike. Each
 * is a request for the class route-plan under the id {@code %ID%}.
 */
public final class UnsoundRequests {
    private static final String START = "POST /route-plan HTTP/1.1\r\n";
    private static final String HOST = "Host: h\r\n";
    private static final String ID = "X-Txn: %ID%\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /**
     * A request and the rule that decides on it.
     *
     * @param name what it has or lacks
     * @param rule the section or page
     * @param bytes the request, with {@code %ID%} for its id
     */
    public record Case(String name, String rule, String bytes) {
        /** Returns the bytes of the request under an id. */
        public String withId(String id) {
            return bytes.replace("%ID%", id);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private UnsoundRequests() {}

    private static Case fields(String name, String rule, String fields) {
        return new Case(name, rule, START + HOST + ID + fields + "Content-Length: 1\r\n\r\nx");
    }

    private static Case start(String name, String rule, String startLine) {
        return new Case(name, rule, startLine + "\r\n" + HOST + ID + "Content-Length: 1\r\n\r\nx");
    }

    private static Case target(String name, String target) {
        return start(name, "RFC 9112, 3.2.1", "POST /route-plan" + target + " HTTP/1.1");
    }

    private static Case host(String name, String hostLines) {
        return new Case(name, "RFC 9112, 3.2", START + hostLines + ID + "Content-Length: 1\r\n\r\nx");
    }

    private static Case framing(String name, String rule, String lines, String body) {
        return new Case(name, rule, START + HOST + ID + lines + "\r\n" + body);
    }

    private static Case chunks(String name, String rule, String body) {
        return framing(name, rule, CHUNKED, body);
    }

    /** Returns requests that are owed an error or a close. */
    public static List<Case> unsound() {
        String platform = "protocol page, Clients to schedulers";
        String size = "RFC 9112, 7.1";
        String extension = "RFC 9112, 7.1.1";
        String trailer = "RFC 9112, 7.1.2";
        String length = "RFC 9112, 6.2";
        return List.of(
                start("a space too many", "RFC 9112, 3", "POST  /route-plan HTTP/1.1"),
                start("no version", "RFC 9112, 3", "POST /route-plan"),
                start("another version", "RFC 9112, 2.3", "POST /route-plan HTTP/2.0"),
                start("a method that is no token", "RFC 9110, 9.1", "PO(ST /route-plan HTTP/1.1"),
                start("a class that does not exist", platform, "POST /none HTTP/1.1"),
                start("a relative target", "RFC 9112, 3.2.1", "POST route-plan HTTP/1.1"),
                target("a fragment", "?a#b"),
                target("a quote in the query", "?a=\"b\""),
                target("brackets in the path", "/[a]"),
                target("a backslash", "/a\\b"),
                target("a percent sign without digits", "/a%zz"),
                target("half a percent sign", "?a%4"),
                target("a byte above 127", "/\u00e4"),
                target("a brace", "?{a}"),
                host("no Host", ""),
                host("two Hosts", HOST + "Host: h\r\n"),
                host("two different Hosts", HOST + "Host: i\r\n"),
                host("a Host with a path", "Host: h/a\r\n"),
                host("a Host with a space", "Host: h i\r\n"),
                host("a Host whose port is no number", "Host: h:a\r\n"),
                host("a Host with user information", "Host: u@h\r\n"),
                new Case("no id", platform, START + HOST + "Content-Length: 1\r\n\r\nx"),
                fields("two ids", platform, "X-Txn: other\r\n"),
                fields("a blank before the colon", "RFC 9112, 5.1", "X-A : 1\r\n"),
                fields("a folded line", "RFC 9112, 5.2", "X-A: 1\r\n 2\r\n"),
                fields("a name that is no token", "RFC 9110, 5.1", "X[A]: 1\r\n"),
                fields("a control character in a value", "RFC 9110, 5.5", "X-A: \u0001\r\n"),
                fields("a bare CR in a value", "RFC 9112, 2.2", "X-A: 1\r2\r\n"),
                fields("a line without a colon", "RFC 9112, 5", "X-A\r\n"),
                fields("another class in X-Lane", platform, "X-Lane: pickup-order\r\n"),
                fields("two classes", platform, "X-Lane: route-plan\r\nX-Lane: pickup-order\r\n"),
                fields("the class twice", platform, "X-Lane: route-plan\r\nX-Lane: route-plan\r\n"),
                fields("a deadline that is no number", platform, "X-Remaining-Ms: soon\r\n"),
                fields("an empty deadline", platform, "X-Remaining-Ms:\r\n"),
                fields("a negative deadline", platform, "X-Remaining-Ms: -500\r\n"),
                fields("a deadline with a sign", platform, "X-Remaining-Ms: +500\r\n"),
                fields("a deadline with a fraction", platform, "X-Remaining-Ms: 500.5\r\n"),
                fields("two deadlines", platform, "X-Remaining-Ms: 500\r\nX-Remaining-Ms: 9000\r\n"),
                fields("a deadline and one that is none", platform, "X-Remaining-Ms: 500\r\nX-Remaining-Ms: x\r\n"),
                fields("a negative estimate", platform, "X-Estimate: -5\r\n"),
                fields("two estimates", platform, "X-Estimate: 5\r\nX-Estimate: 6\r\n"),
                fields("an estimate that is no number", platform, "X-Estimate: 0x10\r\n"),
                fields("the same label twice", platform, "X-Labels: a=1,a=2\r\n"),
                fields("two lines of labels", platform, "X-Labels: a=1\r\nX-Labels: a=2\r\n"),
                fields("a label without a name", platform, "X-Labels: =1\r\n"),
                fields("a label without a value", platform, "X-Labels: a=\r\n"),
                fields("a label that is no number", platform, "X-Labels: a=NaN\r\n"),
                fields("a label of infinite size", platform, "X-Labels: a=Infinity\r\n"),
                fields("a label in hexadecimal", platform, "X-Labels: a=0x1p3\r\n"),
                fields("labels without a comma", platform, "X-Labels: a=1 b=2\r\n"),
                fields("negative memory", platform, "X-Labels: memory=-1\r\n"),
                fields("no slots", platform, "X-Labels: slots=0\r\n"),
                fields("two marks of a retry", platform, "X-Resent: 1\r\nX-Resent: 0\r\n"),
                fields("a mark of a retry that is none", platform, "X-Resent: maybe\r\n"),
                fields("two keys", platform, "Cookie: obj=a; obj=b\r\n"),
                fields("two lengths", length, "Content-Length: 2\r\n"),
                fields("the length twice", length, "Content-Length: 1\r\n"),
                framing("a list of lengths", length, "Content-Length: 1, 1\r\n", "x"),
                framing("a negative length", length, "Content-Length: -1\r\n", "x"),
                framing("a length with a sign", length, "Content-Length: +1\r\n", "x"),
                framing("an empty length", length, "Content-Length:\r\n", "x"),
                framing("a length that is no number", length, "Content-Length: 0x1\r\n", "x"),
                framing("a length over all numbers", length, "Content-Length: 99999999999999999999\r\n", "x"),
                framing("a length over the limit", "protocol page", "Content-Length: 70000\r\n", "x"),
                framing("a length shorter than the body", length, "Content-Length: 3\r\n", "{\"a\":1}"),
                framing("a body without a length", "RFC 9112, 6.3", "", "{\"a\":1}"),
                framing("a length and chunks", "terms", "Content-Length: 6\r\n" + CHUNKED, "0\r\n\r\n"),
                framing("an unknown coding", "RFC 9112, 6.1", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
                framing("chunked twice", "RFC 9112, 6.1", "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
                framing("two codings", "RFC 9112, 6.1", CHUNKED + CHUNKED, "0\r\n\r\n"),
                framing("an empty coding", "RFC 9112, 6.1", "Transfer-Encoding:\r\n", "0\r\n\r\n"),
                new Case(
                        "chunks in HTTP/1.0",
                        "RFC 9112, 6.1",
                        "POST /route-plan HTTP/1.0\r\n" + ID + CHUNKED + "\r\n0\r\n\r\n"),
                chunks("no size", size, "\r\nx\r\n0\r\n\r\n"),
                chunks("a size that is no number", size, "g\r\nx\r\n0\r\n\r\n"),
                chunks("a size with a sign", size, "+1\r\nx\r\n0\r\n\r\n"),
                chunks("a size with a prefix", size, "0x1\r\nx\r\n0\r\n\r\n"),
                chunks("a size with a blank ahead", size, " 1\r\nx\r\n0\r\n\r\n"),
                chunks("a size followed by a blank", size, "1 \r\nx\r\n0\r\n\r\n"),
                chunks("a size followed by rubbish", size, "1 rubbish\r\nx\r\n0\r\n\r\n"),
                chunks("a size that is cut off by a line feed", size, "1\nx\r\n0\r\n\r\n"),
                chunks("a size over all numbers", size, "ffffffffffffffff1\r\nx\r\n0\r\n\r\n"),
                chunks("an extension without a name", extension, "1;\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with an empty value", extension, "1;a=\r\nx\r\n0\r\n\r\n"),
                chunks("an extension that is no token", extension, "1;a{b\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with two values", extension, "1;a=b c\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with an open quote", extension, "1;a=\"b\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with text behind the quote", extension, "1;a=\"b\"c\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with a bare CR", extension, "1;a=b\rc\r\nx\r\n0\r\n\r\n"),
                chunks("data longer than its size", size, "1\r\nxy\r\n0\r\n\r\n"),
                chunks("data shorter than its size", size, "3\r\nx\r\n0\r\n\r\nPOST"),
                chunks("data that ends with a line feed", size, "1\r\nx\n0\r\n\r\n"),
                chunks("a trailer without a colon", trailer, "1\r\nx\r\n0\r\nrubbish\r\n\r\n"),
                chunks("a trailer without a name", trailer, "1\r\nx\r\n0\r\n: a\r\n\r\n"),
                chunks("a trailer whose name is no token", trailer, "1\r\nx\r\n0\r\na b: c\r\n\r\n"),
                chunks("a trailer with a bare line feed", trailer, "1\r\nx\r\n0\r\na: b\nc: d\r\n\r\n"),
                chunks("a trailer with a bare CR", trailer, "1\r\nx\r\n0\r\na: b\rc\r\n\r\n"),
                chunks("a folded trailer", trailer, "1\r\nx\r\n0\r\na: b\r\n c\r\n\r\n"),
                chunks("a length in the trailer", "RFC 9110, 6.5.1", "1\r\nx\r\n0\r\nContent-Length: 1\r\n\r\n"),
                chunks(
                        "a coding in the trailer",
                        "RFC 9110, 6.5.1",
                        "1\r\nx\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"),
                chunks("an id in the trailer", "RFC 9110, 6.5.1", "1\r\nx\r\n0\r\nX-Txn: other\r\n\r\n"));
    }

    /** Returns requests that must be served, although they use a rare form. */
    public static List<Case> sound() {
        String rule = "sound";
        return List.of(
                fields("a plain request", rule, ""),
                fields("the class in X-Lane", rule, "X-Lane: route-plan\r\n"),
                fields("a deadline", rule, "X-Remaining-Ms: 5000\r\n"),
                fields("names in any case", rule, "x-remaining-MS: 5000\r\nx-LANE: route-plan\r\n"),
                fields("blanks around values", rule, "X-Lane: \t route-plan \t\r\nX-Remaining-Ms:5000\r\n"),
                fields("an estimate", rule, "X-Estimate: 1200\r\n"),
                fields("labels", rule, "X-Labels: slots=1, size=0.5,x=-2,y=1e3\r\n"),
                fields("empty labels", rule, "X-Labels:\r\n"),
                fields("a mark of a retry", rule, "X-Resent: 1\r\n"),
                fields("a key", rule, "Cookie: a=b; obj=7f; c=d\r\n"),
                fields("a field twice that the platform does not know", rule, "Accept: a\r\nAccept: b\r\n"),
                fields("an empty field", rule, "X-A:\r\n"),
                fields("a byte above 127 in a value", rule, "X-A: \u00e4\r\n"),
                fields("the continuation expected", rule, "Expect: 100-continue\r\n"),
                target("a query", "?a=b&c=%20d;e:@!$'()*+,-._~/?"),
                target("a longer path", "/a%2Fb/c;d=1"),
                host("an empty Host", "Host:\r\n"),
                host("a Host with a port", "Host: origin.svc:8000\r\n"),
                host("a Host that is an address", "Host: 127.0.0.1:80\r\n"),
                host("a Host that is an IPv6 address", "Host: [::1]:80\r\n"),
                new Case("empty lines ahead", rule, "\r\n\r\n" + START + HOST + ID + "Content-Length: 1\r\n\r\nx"),
                new Case("no body and no length", rule, START + HOST + ID + "\r\n"),
                new Case("HTTP/1.0", rule, "POST /route-plan HTTP/1.0\r\n" + ID + "Content-Length: 1\r\n\r\nx"),
                chunks("chunks", rule, "1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n"),
                chunks("zeros ahead of a size", rule, "0000000000000001\r\nx\r\n000\r\n\r\n"),
                chunks("sizes in any case", rule, "a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n"),
                chunks("an extension", rule, "1;a\r\nx\r\n0;b=c\r\n\r\n"),
                chunks("extensions with blanks", rule, "1 ; a = b\t;c\r\nx\r\n0\r\n\r\n"),
                chunks("an extension with a quoted value", rule, "1;a=\"b;\\\"c\"\r\nx\r\n0\r\n\r\n"),
                chunks("a trailer", rule, "1\r\nx\r\n0\r\nX-Sum: 1\r\nX-B:\r\n\r\n"),
                framing("a coding in any case", rule, "transfer-encoding: CHUNKED\r\n", "1\r\nx\r\n0\r\n\r\n"));
    }
}
