package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

const (
	defaultTokens = 16
	maxTokens     = 4096
	maxBody       = 16 << 20
)

// message is one message of a chat, in the published API's case.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest holds the fields of the published API that the stand-in uses.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Handler serves the engine over HTTP.
func (engine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", engine.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", engine.complete).Methods(http.MethodPost)
	router.HandleFunc("/load", engine.load).Methods(http.MethodGet)
	router.HandleFunc("/holdings", engine.getHoldings).Methods(http.MethodGet)
	router.HandleFunc("/orders", engine.postOrder).Methods(http.MethodPost)
	router.HandleFunc("/seen", engine.getSeen).Methods(http.MethodGet)
	return router
}

func (engine *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	stats := engine.reported
	engine.mutex.Unlock()
	rest.WriteJSON(writer, http.StatusOK, stats)
}

func (engine *Engine) getHoldings(writer http.ResponseWriter, _ *http.Request) {
	rest.WriteJSON(writer, http.StatusOK, engine.Holdings())
}

func (engine *Engine) postOrder(writer http.ResponseWriter, request *http.Request) {
	var order agatestage.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := engine.Order(request.Context(), order); err != nil {
		http.Error(writer, err.Error(), http.StatusConflict)
		return
	}
	rest.WriteJSON(writer, http.StatusOK, nil)
}

// Seen returns the header lines of all requests, as an engine's log would.
func (engine *Engine) Seen() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]string(nil), engine.seen...)
}

func (engine *Engine) getSeen(writer http.ResponseWriter, _ *http.Request) {
	rest.WriteJSON(writer, http.StatusOK, engine.Seen())
}

// maxSeen bounds the log of requests.
const maxSeen = 10_000

func (engine *Engine) log(request *http.Request) {
	var line bytes.Buffer
	// Writing to a buffer can't fail.
	_ = request.Header.Write(&line)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if len(engine.seen) < maxSeen {
		engine.seen = append(engine.seen, line.String())
	}
}

// complete answers a chat or text completion.
func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	engine.log(request)
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if err != nil {
		return
	}
	if engine.marker != "" && bytes.Contains(body, []byte(engine.marker)) {
		engine.onCrash()
		panic(http.ErrAbortHandler)
	}
	var wanted completionRequest
	if err = json.Unmarshal(body, &wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !engine.holds(wanted.Model) {
		http.Error(writer, "model is not loaded", http.StatusNotFound)
		return
	}
	chat := strings.Contains(request.URL.Path, "chat")
	prompt := wanted.words(chat)
	count := wanted.MaxTokens
	if count <= 0 {
		count = defaultTokens
	}
	count = min(count, maxTokens)
	sequence := engine.start(request.Context(), prompt, count)
	answer := answer{chat: chat, model: wanted.Model, prompt: len(prompt), text: Text(prompt)}
	if wanted.Stream {
		answer.stream(writer, sequence)
		return
	}
	answer.whole(writer, sequence)
}

// words returns the prompt's tokens.
func (request completionRequest) words(chat bool) (words []string) {
	if !chat {
		return strings.Fields(request.Prompt)
	}
	for _, message := range request.Messages {
		words = append(words, strings.Fields(message.Role+": "+message.Content)...)
	}
	return words
}

// Text returns the function from token number to token that the engine answers
// a prompt with. The first token identifies the prompt.
func Text(prompt []string) func(i int) string {
	sum := xxhash.Sum64String(strings.Join(prompt, " "))
	return func(i int) string {
		if i == 0 {
			return fmt.Sprintf("%016x", sum)
		}
		return fmt.Sprintf(" w%d", (sum+uint64(i))%1000)
	}
}

// answer is the reply to one request.
type answer struct {
	chat   bool
	model  string
	prompt int
	text   func(i int) string
}

func (answer answer) object(part string) completion {
	object := "text_completion"
	if answer.chat {
		object = "chat.completion" + part
	}
	return completion{ID: "cmpl-" + answer.text(0), Object: object, Model: answer.model}
}

// stream sends each token as an event.
func (answer answer) stream(writer http.ResponseWriter, sequence *sequence) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(writer)
	count := 0
	for range sequence.tokens {
		event := answer.object(".chunk")
		event.Choices = []choice{answer.delta(answer.text(count))}
		count++
		if writeEvent(writer, event) != nil || controller.Flush() != nil {
			return
		}
	}
	if sequence.ctx.Err() != nil {
		return
	}
	reason := "length"
	event := answer.object(".chunk")
	event.Choices = []choice{{Delta: &message{}, FinishReason: &reason}}
	event.Usage = answer.usage(count)
	if writeEvent(writer, event) == nil {
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	}
}

func (answer answer) delta(text string) choice {
	if answer.chat {
		return choice{Delta: &message{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (answer answer) usage(count int) *usage {
	return &usage{PromptTokens: answer.prompt, CompletionTokens: count, TotalTokens: answer.prompt + count}
}

// whole sends the answer when it is complete.
func (answer answer) whole(writer http.ResponseWriter, sequence *sequence) {
	var text strings.Builder
	count := 0
	for range sequence.tokens {
		text.WriteString(answer.text(count))
		count++
	}
	if sequence.ctx.Err() != nil {
		return
	}
	reason := "length"
	object := answer.object("")
	object.Usage = answer.usage(count)
	object.Choices = []choice{{FinishReason: &reason, Text: text.String()}}
	if answer.chat {
		object.Choices = []choice{{FinishReason: &reason, Message: &message{Role: "assistant", Content: text.String()}}}
	}
	rest.WriteJSON(writer, http.StatusOK, object)
}

func writeEvent(writer io.Writer, event completion) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(writer, "data: %s\n\n", data)
	return err
}
