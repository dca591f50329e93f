/**
 * The HTTP side of a query router: clients' requests in, one response for each out.
 *
 * <p>{@link tidebank.frontend.ClientServer} listens and owns the connections. Each is a {@code
 * ClientConnection} behind the handlers that {@code ClientPipeline} adds; its requests are {@code
 * HttpExchange}s, kept in their order until they have their responses. {@code RequestRouter}
 * responds to a request by its path, {@code QueryRequestParser} maps the words of the wire to a
 * {@link tidebank.runtime.QueryRequest}. A query goes to the {@link
 * tidebank.runtime.PolicyExecutor}, and its exchange is the callback for its final response.
 *
 * <p>{@code ConnectionBudget} says which connection closes to make room for another, {@code
 * Listener} when none is accepted, {@code ConnectionTimers} what a client has time for.
 *
 * <p>All state belongs to the router's event loop. Where to start: {@code ClientConnection.read}
 * for a request, {@code ClientConnection.writeResponses} for a response, {@code
 * ClientServer.stopAccepting} for a shutdown.
 */
package tidebank.frontend;
